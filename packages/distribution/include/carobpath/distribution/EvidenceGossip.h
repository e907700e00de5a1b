#pragma once

#include "carobpath/distribution/EvidencePort.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/membership/GossipQueue.h"

#include <deque>
#include <set>

namespace carobpath::distribution {

/// Spreads the evidence of active moves and the notices of moves that are to be taken back.
class EvidenceGossip {
public:
    /// Entries waiting to be spread.
    static constexpr std::size_t s_maxEntries = 4096;
    /// Notices remembered, so that each is pushed once.
    static constexpr std::size_t s_maxNotices = 1024;
    /// Parts of a store's changes that are taken in one collection.
    static constexpr std::size_t s_maxParts = 16;
    /// Shortest time between two collections, and so between two spread revisions of an entry.
    static constexpr std::chrono::milliseconds s_collectInterval { 400 };

    explicit EvidenceGossip(EvidencePort);

    bool collectionDue(MonotonicTime now) const;
    /// Takes what changed in the store. \returns notices that are news.
    std::vector<moves::TakeBackNotice> collect(MonotonicTime now);
    /// Gives a peer's update to the store. \returns notices that are news.
    std::vector<moves::TakeBackNotice> merge(const moves::EvidenceUpdate&);
    /// \returns whether entries wait to be spread.
    bool hasEntries() const { return m_entries.size() > 0; }
    /// \returns entries for one message, bounded by bytes, and the latest notices.
    moves::EvidenceUpdate take(std::size_t budget, std::uint32_t transmissions);
    /// \returns all that the store holds.
    moves::EvidenceUpdate snapshot() const;

private:
    struct EntryKey {
        NodeName observer;
        Incarnation incarnation;
        MoveName move;
        publication::Offset movePublishedAt;
        RouteName route;
        VersionName version;
        std::uint32_t window;
        friend auto operator<=>(const EntryKey&, const EntryKey&) = default;
    };
    struct NoticeKey {
        MoveName move;
        publication::Offset movePublishedAt;
        friend auto operator<=>(const NoticeKey&, const NoticeKey&) = default;
    };

    static EntryKey keyOf(const moves::EvidenceEntry&);
    std::vector<moves::TakeBackNotice> remember(const std::vector<moves::TakeBackNotice>&);

    EvidencePort m_port;
    MonotonicTime m_collectedAt;
    membership::GossipQueue<EntryKey, moves::EvidenceEntry> m_entries { s_maxEntries };
    membership::GossipQueue<NoticeKey, moves::TakeBackNotice> m_notices { s_maxNotices };
    std::set<NoticeKey> m_known;
    /// The notices known, oldest first.
    std::deque<NoticeKey> m_knownOrder;
};

}
