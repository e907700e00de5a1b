#pragma once

#include "carobpath/distribution/EvidencePort.h"

#include <map>

namespace carobpath::distribution {

/// Stores the newest evidence entry of each series and reports each change once per cursor.
class FakeEvidence {
public:
    using Key = std::pair<std::string, std::string>;

    void add(const moves::EvidenceEntry& entry)
    {
        const Key key { entry.observer.value(), entry.route.value() + "/" + entry.version.value() };
        const auto it = m_entries.find(key);
        if (it != m_entries.end() && it->second.entry.revision >= entry.revision)
            return;
        m_entries.insert_or_assign(key, Stored { entry, ++m_changes });
    }

    void addNotice(const moves::TakeBackNotice& notice)
    {
        if (m_notices.contains(notice.move))
            return;
        m_notices.emplace(notice.move, std::make_pair(notice, ++m_changes));
    }

    void merge(const moves::EvidenceUpdate& update)
    {
        for (const auto& it : update.entries)
            add(it);
        for (const auto& it : update.notices)
            addNotice(it);
    }

    moves::EvidenceUpdate changedSince(std::uint64_t& cursor) const
    {
        moves::EvidenceUpdate update;
        for (const auto& [key, stored] : m_entries) {
            if (stored.changedAt > cursor)
                update.entries.push_back(stored.entry);
        }
        for (const auto& [move, stored] : m_notices) {
            if (stored.second > cursor)
                update.notices.push_back(stored.first);
        }
        cursor = m_changes;
        return update;
    }

    bool hasNotice(const MoveName& move) const { return m_notices.contains(move); }
    std::size_t entries() const { return m_entries.size(); }
    /// \returns the stored sequence of an entry, or 0.
    std::uint64_t sequenceOf(const Key& key) const
    {
        const auto it = m_entries.find(key);
        return it == m_entries.end() ? 0 : it->second.entry.revision.sequence;
    }

private:
    struct Stored {
        moves::EvidenceEntry entry;
        std::uint64_t changedAt = 0;
    };
    std::map<Key, Stored> m_entries;
    std::map<MoveName, std::pair<moves::TakeBackNotice, std::uint64_t>> m_notices;
    std::uint64_t m_changes = 0;
};

}
