#pragma once

#include <cstdint>

namespace carobpath::moves {

/// State of a move in the store.
enum class OrderedMoveState : std::uint8_t {
    Running,
    Done,
    TakenBack,
};

}
