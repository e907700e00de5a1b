#pragma once

#include <cstdint>
#include <string_view>

namespace carobpath {

/// Score of one node for one key (highest random weight). Every process computes the same score, so the nodes
/// with the highest scores for a key are agreed on without a message.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

}
