#pragma once

#include "carobpath/moves/Evidence.h"

#include <concepts>
#include <cstdint>
#include <functional>

namespace carobpath::distribution {

/// Evidence that changed after a cursor, and the cursor to ask with next.
struct EvidenceChanges {
    moves::EvidenceUpdate update;
    std::uint64_t cursor = 0;
};

/// A holder of evidence of active moves: its own counts and what was merged from peers.
/// \c changedSince gives each changed entry once, in its latest revision, merged ones included.
template <typename Store>
concept EvidenceStore = requires(Store& store, std::uint64_t cursor, const moves::EvidenceUpdate& update)
{
    {
        store.changedSince(cursor)
        } -> std::convertible_to<EvidenceChanges>;
    store.merge(update);
};

/// How the exchange reaches a holder of evidence. Empty functions stand for none.
struct EvidencePort {
    std::function<EvidenceChanges(std::uint64_t cursor)> changedSince;
    std::function<void(const moves::EvidenceUpdate&)> merge;
};

/// \returns a port to the store, which must outlive it.
template <EvidenceStore Store>
EvidencePort evidencePortOf(Store& store)
{
    return {
        [&store](std::uint64_t cursor) { return EvidenceChanges(store.changedSince(cursor)); },
        [&store](const moves::EvidenceUpdate& update) { store.merge(update); },
    };
}

}
