#pragma once

#include "carobpath/moves/Evidence.h"

#include <concepts>
#include <functional>
#include <memory>

namespace carobpath::distribution {

/// Stores evidence of active moves: local counts and entries merged from peers. \c changedSince returns a batch of changes
/// after the cursor, including merged entries, and advances the cursor. It is called until a batch is empty.
template <typename Store, typename Cursor>
concept EvidenceSource = std::default_initializable<Cursor> && requires(const Store& store, Cursor& cursor)
{
    {
        store.changedSince(cursor)
        } -> std::convertible_to<moves::EvidenceUpdate>;
};

/// Type-erased access of the gossip engine to an evidence source. The functions are empty if there is no source.
struct EvidencePort {
    /// \returns the next batch of changes since the last call, without entries when no changes are left.
    std::function<moves::EvidenceUpdate()> takeChanges;
    /// \returns the full state.
    std::function<moves::EvidenceUpdate()> snapshot;
    std::function<void(const moves::EvidenceUpdate&)> merge;
};

/// Appends the entries and notices of \c part to \c sum.
inline void append(moves::EvidenceUpdate& sum, const moves::EvidenceUpdate& part)
{
    sum.entries.insert(sum.entries.end(), part.entries.begin(), part.entries.end());
    sum.notices.insert(sum.notices.end(), part.notices.begin(), part.notices.end());
}

/// \param store must outlive the port.
/// \param merge merges a peer's update into the store.
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
