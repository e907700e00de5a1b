#pragma once

#include <compare>
#include <cstdint>

namespace carobpath {

/// Tells one life of a process from the next. Taken from the wall clock in microseconds at start,
/// so that a later life has a larger number.
struct Incarnation {
    std::uint64_t value = 0;

    friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

/// A place in the soft state that one process has spread: later incarnations win, then later sequences.
struct Revision {
    Incarnation incarnation;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Revision&, const Revision&) = default;
};

}
