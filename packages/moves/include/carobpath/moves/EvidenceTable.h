#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/moves/Evidence.h"
#include "carobpath/moves/MoveId.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace carobpath::moves {

/// Position in the changes of one table, stored by the caller of \c EvidenceTable::changedSince.
/// A cursor from another incarnation of the table starts from the beginning.
struct EvidenceCursor {
    Incarnation incarnation;
    std::uint64_t position = 0;

    friend bool operator==(const EvidenceCursor&, const EvidenceCursor&) = default;
};

/// Growth of the counts of one route and version in one evidence window.
struct EvidenceGrowth {
    MoveId move;
    RouteName route;
    VersionName version;
    std::uint32_t window = 0;
    EvidenceCounts counts;
    NodeName observer;
};

/// The newest evidence of each observer, and the counts of this node.
///
/// An observer's counts grow within one incarnation and start at 0 in the next, so the table stores one entry for each
/// incarnation and the total is their sum. Merging is commutative, associative and idempotent.
class EvidenceTable {
public:
    /// Minimum time between two revisions of one local entry.
    static constexpr std::chrono::milliseconds s_revisionInterval { 1000 };
    /// Minimum time between two revisions of a local entry if calls failed since the last one.
    static constexpr std::chrono::milliseconds s_urgentRevisionInterval { 100 };
    /// Maximum number of incarnations of one observer stored for each route, version and window; the oldest are evicted first.
    static constexpr std::size_t s_maxIncarnations = 4;
    static constexpr std::size_t s_maxEntriesPerMove = 16384;
    static constexpr std::size_t s_maxMoves = 128;
    /// Maximum number of entries in one update, so that a message stays well under 1 MiB.
    static constexpr std::size_t s_maxEntriesPerUpdate = 1024;

    EvidenceTable(NodeName self, Incarnation);

    /// Adds to the counts of this node. They become visible with the next revision.
    void observe(const MoveId&, const RouteName&, const VersionName&, std::uint32_t window, const EvidenceCounts& growth, MonotonicTime);
    /// Creates the revisions of local entries that are due.
    /// \returns the growth of the merged counts.
    std::vector<EvidenceGrowth> publishLocal(MonotonicTime);
    /// Gives the local entries of a version and window a new revision with the same counts soon, so that they are sent again to nodes that
    /// missed them: each revision is sent a limited number of times.
    void repeat(const MoveId&, const VersionName&, std::uint32_t window);
    /// Stores the entries that are newer than the stored ones.
    /// \returns the growth of the merged counts.
    std::vector<EvidenceGrowth> merge(const EvidenceUpdate&);
    /// Stores the first notice for each move.
    /// \returns false if the move had one.
    bool addNotice(const TakeBackNotice&);
    const TakeBackNotice* notice(const MoveId&) const;

    /// \returns at most \c s_maxEntriesPerUpdate entries that changed after the cursor, and advances the cursor past them.
    EvidenceUpdate changedSince(EvidenceCursor&) const;

    /// Removes the moves that ended: all except active moves and those published after the active configuration.
    void retain(const std::vector<MoveId>& active, publication::Offset activeOffset);

    /// \returns the merged counts of a move, as growth from zero.
    std::vector<EvidenceGrowth> total(const MoveId&) const;

private:
    struct SeriesKey {
        RouteName route;
        VersionName version;
        std::uint32_t window = 0;
        NodeName observer;

        friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
    };
    struct Stored {
        std::uint64_t sequence = 0;
        std::uint64_t changedAt = 0;
        EvidenceCounts counts;
    };
    struct LocalCounts {
        EvidenceCounts counts;
        MonotonicTime publishedAt = MonotonicTime::min();
        bool changed = false;
        bool urgent = false;
    };
    struct StoredNotice {
        TakeBackNotice notice;
        std::uint64_t changedAt = 0;
    };
    using Series = std::map<Incarnation, Stored>;
    struct MoveEvidence {
        std::map<SeriesKey, Series> series;
        std::map<SeriesKey, LocalCounts> local;
        std::optional<StoredNotice> notice;
        std::uint64_t changedAt = 0;
    };

    MoveEvidence* find(const MoveId&);
    bool store(MoveEvidence&, const SeriesKey&, const Revision&, const EvidenceCounts&, EvidenceCounts& growth);
    void collect(const MoveId&, const MoveEvidence&, std::uint64_t after, EvidenceUpdate&, std::vector<std::uint64_t>& positions) const;

    NodeName m_self;
    Incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_changes = 0;
    publication::Offset m_activeOffset = 0;
    bool m_configured = false;
    std::vector<MoveId> m_active;
    std::map<MoveId, MoveEvidence> m_moves;
};

}
