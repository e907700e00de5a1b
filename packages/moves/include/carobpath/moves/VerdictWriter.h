#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <chrono>
#include <optional>
#include <random>

namespace carobpath::moves {

/// Times the appends of one move's verdict.
///
/// Any node may append, since the first terminal record in log order wins. To keep a fleet from appending at once, the
/// node of rank n begins n steps late, by when the record of an earlier one has mostly been read. A node appends again
/// with backoff until the log shows a terminal record, since an answer can be lost and the log can be down.
class VerdictWriter {
public:
    static constexpr std::chrono::milliseconds s_rankStep { 400 };
    static constexpr std::size_t s_ranksStepped = 64;
    /// Nodes of lower rank, which repeat often.
    static constexpr std::size_t s_busyRanks = 8;
    static constexpr std::chrono::milliseconds s_firstRetry { 1000 };
    static constexpr std::chrono::milliseconds s_longestRetry { 20000 };
    static constexpr std::chrono::milliseconds s_longestRetryOfOthers { 240000 };

    /// \param rank place of this node in the order of the move's writers; 0 writes first.
    explicit VerdictWriter(std::size_t rank);

    /// Called as often as the verdict is asked for; a verdict with another outcome starts anew.
    /// \returns true where it is to be appended now.
    bool isDue(const publication::MoveVerdict&, MonotonicTime, std::mt19937_64&);

private:
    std::size_t m_rank;
    std::optional<publication::MoveOutcome> m_outcome;
    MonotonicTime m_nextAt;
    std::uint32_t m_attempts = 0;
};

}
