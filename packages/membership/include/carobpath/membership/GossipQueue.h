#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace carobpath::membership {

/// News that are sent a bounded number of times each: those sent least first, and among them the one that waited
/// longest. An item that is replaced keeps its place, so that one that changes all the time is not overtaken for ever.
/// \tparam Key what a later item replaces.
template <typename Key, typename Item>
class GossipQueue {
public:
    /// \param capacity items kept; beyond it the one sent most often is dropped.
    explicit GossipQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds news; an older item of the same key is replaced and its transmissions start anew.
    void put(const Key& key, Item item)
    {
        if (!m_rumors.contains(key) && m_rumors.size() >= m_capacity)
            dropMostSent();
        const auto [it, isNew] = m_rumors.try_emplace(key);
        it->second.item = std::move(item);
        it->second.sent = 0;
        if (isNew)
            it->second.place = ++m_lastPlace;
    }

    /// A peer sent what is held here already: it has spread that far, so it is sent fewer times.
    void heardAgain(const Key& key, std::uint32_t transmissionsSaved)
    {
        const auto it = m_rumors.find(key);
        if (it != m_rumors.end())
            it->second.sent += transmissionsSaved;
    }

    /// A peer holds everything that is held here.
    void allHeardAgain(std::uint32_t transmissionsSaved)
    {
        for (auto& [key, rumor] : m_rumors)
            rumor.sent += transmissionsSaved;
    }

    void erase(const Key& key) { m_rumors.erase(key); }
    std::size_t size() const { return m_rumors.size(); }

    /// Takes items for one message and counts their transmission.
    /// \param budget bytes that the items may take together.
    /// \param transmissions times that an item is sent before it is dropped.
    template <typename SizeOf>
    std::vector<Item> take(std::size_t budget, std::uint32_t transmissions, SizeOf sizeOf)
    {
        std::vector<Item> items;
        std::size_t used = 0;
        for (const auto& it : leastSentFirst()) {
            if (it->second.sent >= transmissions) {
                m_rumors.erase(it);
                continue;
            }
            const std::size_t size = sizeOf(it->second.item);
            if (used + size > budget)
                break;
            used += size;
            items.push_back(it->second.item);
            it->second.place = ++m_lastPlace;
            if (++it->second.sent >= transmissions)
                m_rumors.erase(it);
        }
        return items;
    }

private:
    struct Rumor {
        Item item;
        std::uint32_t sent = 0;
        std::uint64_t place = 0;
    };
    using Rumors = std::map<Key, Rumor>;

    std::vector<typename Rumors::iterator> leastSentFirst()
    {
        std::vector<typename Rumors::iterator> order;
        order.reserve(m_rumors.size());
        for (auto it = m_rumors.begin(); it != m_rumors.end(); ++it)
            order.push_back(it);
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
            return std::tie(a->second.sent, a->second.place) < std::tie(b->second.sent, b->second.place);
        });
        return order;
    }

    void dropMostSent()
    {
        const auto most = std::max_element(m_rumors.begin(), m_rumors.end(), [](const auto& a, const auto& b) { return a.second.sent < b.second.sent; });
        if (most != m_rumors.end())
            m_rumors.erase(most);
    }

    std::size_t m_capacity;
    std::uint64_t m_lastPlace = 0;
    Rumors m_rumors;
};

}
