#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace carobpath::membership {

/// Queue of updates that are each sent a limited number of times. Items sent least often come first; among those, the one
/// that has waited longest. A replaced item counts as not sent, but keeps the time since which it has waited, so that items
/// that change constantly are not starved.
/// \tparam Key identifies an item; a later item replaces an earlier one with the same key.
template <typename Key, typename Item>
class GossipQueue {
public:
    /// \param capacity maximum number of items; the item sent most often is dropped to make room.
    explicit GossipQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds an item. Replaces an earlier item with the same key and resets its transmission count.
    void put(const Key& key, Item item)
    {
        if (!m_entries.contains(key) && m_entries.size() >= m_capacity)
            dropMostSent();
        const auto [it, isNew] = m_entries.try_emplace(key);
        it->second.item = std::move(item);
        it->second.sent = 0;
        if (isNew)
            it->second.order = ++m_lastOrder;
    }

    /// Records that a peer sent an item that is already stored here: it has spread that far, so it is sent fewer times.
    void onEcho(const Key& key, std::uint32_t transmissionsSaved)
    {
        const auto it = m_entries.find(key);
        if (it != m_entries.end())
            it->second.sent += transmissionsSaved;
    }

    /// Records that a peer has all items of this queue.
    void onEchoForAll(std::uint32_t transmissionsSaved)
    {
        for (auto& [key, entry] : m_entries)
            entry.sent += transmissionsSaved;
    }

    void erase(const Key& key) { m_entries.erase(key); }
    std::size_t size() const { return m_entries.size(); }

    /// \returns the items for one message, whose transmissions are counted.
    /// \param budget maximum total size of the items in bytes.
    /// \param transmissions number of times that an item is sent before it is dropped.
    template <typename SizeOf>
    std::vector<Item> take(std::size_t budget, std::uint32_t transmissions, SizeOf sizeOf)
    {
        std::vector<Item> items;
        std::size_t used = 0;
        for (const auto& it : leastSentFirst()) {
            if (it->second.sent >= transmissions) {
                m_entries.erase(it);
                continue;
            }
            const std::size_t size = sizeOf(it->second.item);
            if (used + size > budget)
                break;
            used += size;
            items.push_back(it->second.item);
            it->second.order = ++m_lastOrder;
            if (++it->second.sent >= transmissions)
                m_entries.erase(it);
        }
        return items;
    }

private:
    struct Entry {
        Item item;
        std::uint32_t sent = 0;
        std::uint64_t order = 0;
    };
    using Entries = std::map<Key, Entry>;

    std::vector<typename Entries::iterator> leastSentFirst()
    {
        std::vector<typename Entries::iterator> order;
        order.reserve(m_entries.size());
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it)
            order.push_back(it);
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
            return std::tie(a->second.sent, a->second.order) < std::tie(b->second.sent, b->second.order);
        });
        return order;
    }

    void dropMostSent()
    {
        const auto most = std::max_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) { return a.second.sent < b.second.sent; });
        if (most != m_entries.end())
            m_entries.erase(most);
    }

    std::size_t m_capacity;
    std::uint64_t m_lastOrder = 0;
    Entries m_entries;
};

}
