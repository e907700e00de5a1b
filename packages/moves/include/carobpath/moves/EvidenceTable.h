#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/moves/Evidence.h"
#include "carobpath/moves/MoveId.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace carobpath::moves {

/// Place in the changes of one book, kept by the reader of \c EvidenceTable::changedSince.
/// A cursor of another incarnation of the book starts from the beginning.
struct EvidenceCursor {
    Incarnation book;
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

/// The newest evidence of each observer, and the node's own counts.
///
/// An observer's counts grow within one incarnation and start at 0 in the next, so the book keeps one entry for each
/// incarnation and the total is their sum. Merging is commutative, associative and idempotent.
class EvidenceTable {
public:
    /// Least time between two revisions of one own entry.
    static constexpr std::chrono::milliseconds s_revisionInterval { 1000 };
    /// The same for an entry in which calls failed since its last revision.
    static constexpr std::chrono::milliseconds s_urgentRevisionInterval { 100 };
    /// Incarnations kept of one observer for each route, version and window; the oldest go first.
    static constexpr std::size_t s_incarnationsKept = 4;
    static constexpr std::size_t s_entriesPerMove = 16384;
    static constexpr std::size_t s_movesKept = 128;
    /// Entries in one update, so that a message stays well under 1 MiB.
    static constexpr std::size_t s_entriesPerUpdate = 1024;

    EvidenceTable(NodeName self, Incarnation);

    /// Adds to the node's own counts. They become visible with the next revision.
    void observe(const MoveId&, const RouteName&, const VersionName&, std::uint32_t window, const EvidenceCounts& growth, MonotonicTime);
    /// Makes the revisions of own entries that are due.
    /// \returns what was added to the merged counts.
    std::vector<EvidenceGrowth> publishOwn(MonotonicTime);
    /// Keeps the newer of each entry.
    /// \returns what was added to the merged counts.
    std::vector<EvidenceGrowth> merge(const EvidenceUpdate&);
    /// Keeps one notice for each move.
    /// \returns false where the move had one.
    bool addNotice(const TakeBackNotice&);
    const TakeBackNotice* notice(const MoveId&) const;

    /// \returns at most \c s_entriesPerUpdate entries that changed after the cursor, and moves the cursor past them.
    EvidenceUpdate changedSince(EvidenceCursor&) const;

    /// Forgets the moves that ended: all but the active ones and those published after the offset in force.
    void retain(const std::vector<MoveId>& active, publication::Offset inForce);

    /// \returns the merged growth of a move from nothing.
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
    struct Own {
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
        std::map<SeriesKey, Own> own;
        std::optional<StoredNotice> notice;
        std::uint64_t changedAt = 0;
    };

    MoveEvidence* find(const MoveId&);
    bool store(MoveEvidence&, const SeriesKey&, const Revision&, const EvidenceCounts&, EvidenceCounts& growth);
    void collect(const MoveId&, const MoveEvidence&, std::uint64_t after, EvidenceUpdate&, std::vector<std::uint64_t>& places) const;

    NodeName m_self;
    Incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_changes = 0;
    publication::Offset m_inForce = 0;
    bool m_configured = false;
    std::vector<MoveId> m_active;
    std::map<MoveId, MoveEvidence> m_moves;
};

}
