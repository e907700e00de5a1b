#pragma once

#include <cstdint>
#include <string_view>

namespace carobpath {

/// Score of one node for one key (highest random weight). Every process computes the same score, so the nodes
/// with the highest scores for a key are agreed on without a message.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// The same score of a text that comes in parts.
class RendezvousScorer {
public:
    explicit RendezvousScorer(std::string_view key);
    void append(std::string_view part);
    std::uint64_t score() const;

private:
    std::uint64_t m_state;
};

}
