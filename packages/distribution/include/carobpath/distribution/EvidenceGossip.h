#pragma once

#include "carobpath/distribution/EvidencePort.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/membership/GossipQueue.h"

#include <deque>
#include <set>

namespace carobpath::distribution {

/// Disseminates the evidence of active moves and the notices of moves that must be taken back.
class EvidenceGossip {
public:
    /// Maximum number of entries waiting to be sent.
    static constexpr std::size_t s_maxEntries = 4096;
    /// Number of recent notices that are remembered so that each is pushed only once.
    static constexpr std::size_t s_maxNotices = 1024;
    /// Maximum number of batches read from the evidence source in one collection.
    static constexpr std::size_t s_maxParts = 16;
    /// Minimum time between two collections, and thus between two sent revisions of an entry.
    static constexpr std::chrono::milliseconds s_collectInterval { 400 };

    explicit EvidenceGossip(EvidencePort);

    bool collectionDue(MonotonicTime now) const;
    /// Reads the changes of the evidence source. \returns the notices not seen before.
    std::vector<moves::TakeBackNotice> collect(MonotonicTime now);
    /// Merges a peer's update into the evidence source. \returns the notices not seen before.
    std::vector<moves::TakeBackNotice> merge(const moves::EvidenceUpdate&);
    /// \returns whether any entries are waiting to be sent.
    bool hasEntries() const { return m_entries.size() > 0; }
    /// \returns entries for one message, limited to \c budget bytes, and pending notices.
    moves::EvidenceUpdate take(std::size_t budget, std::uint32_t transmissions);
    /// \returns the full state of the evidence source.
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
    /// Keys of \c m_known, oldest first.
    std::deque<NoticeKey> m_knownOrder;
};

}
