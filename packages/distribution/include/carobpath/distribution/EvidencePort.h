#pragma once

#include "carobpath/moves/Evidence.h"

#include <concepts>
#include <functional>
#include <memory>

namespace carobpath::distribution {

/// A holder of evidence of active moves: its own counts and what was merged from peers. \c changedSince gives what
/// changed after the cursor, merged entries included, and moves the cursor; it is called again while it gives entries.
template <typename Store, typename Cursor>
concept EvidenceSource = std::default_initializable<Cursor> && requires(const Store& store, Cursor& cursor)
{
    {
        store.changedSince(cursor)
        } -> std::convertible_to<moves::EvidenceUpdate>;
};

/// How the exchange reaches a holder of evidence. Empty functions stand for none.
struct EvidencePort {
    /// \returns the next part of what changed since the last call; no entries once there is nothing left.
    std::function<moves::EvidenceUpdate()> takeChanges;
    /// \returns all that is held.
    std::function<moves::EvidenceUpdate()> snapshot;
    std::function<void(const moves::EvidenceUpdate&)> merge;
};

/// Adds one update to another.
inline void append(moves::EvidenceUpdate& sum, const moves::EvidenceUpdate& part)
{
    sum.entries.insert(sum.entries.end(), part.entries.begin(), part.entries.end());
    sum.notices.insert(sum.notices.end(), part.notices.begin(), part.notices.end());
}

/// \param store must outlive the port.
/// \param merge gives a peer's update to the store.
template <typename Cursor, EvidenceSource<Cursor> Store>
EvidencePort makeEvidencePort(const Store& store, std::function<void(const moves::EvidenceUpdate&)> merge)
{
    EvidencePort port;
    port.takeChanges = [&store, cursor = std::make_shared<Cursor>()] { return moves::EvidenceUpdate(store.changedSince(*cursor)); };
    port.snapshot = [&store] {
        Cursor cursor;
        moves::EvidenceUpdate all;
        for (moves::EvidenceUpdate part = store.changedSince(cursor); !part.entries.empty() || !part.notices.empty(); part = store.changedSince(cursor))
            append(all, part);
        return all;
    };
    port.merge = std::move(merge);
    return port;
}

}
