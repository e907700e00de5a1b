#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <chrono>
#include <optional>
#include <random>

namespace carobpath::moves {

/// Schedules the appends of one move's verdict.
///
/// Any node may append, since the first terminal record in log order wins. To avoid simultaneous appends by the whole
/// fleet, the node of rank n starts n steps later; by then it has usually read the record of a node of lower rank. A node
/// repeats the append with backoff until the log contains a terminal record, since an answer can be lost and the log can
/// be down.
class VerdictWriter {
public:
    static constexpr std::chrono::milliseconds s_rankStep { 400 };
    static constexpr std::size_t s_maxRankSteps = 64;
    /// Nodes of a rank below this retry frequently.
    static constexpr std::size_t s_frequentRanks = 8;
    static constexpr std::chrono::milliseconds s_initialRetry { 1000 };
    static constexpr std::chrono::milliseconds s_maxRetry { 20000 };
    static constexpr std::chrono::milliseconds s_maxRetryOfOtherRanks { 240000 };

    /// \param rank position of this node in the order of the move's writers; 0 writes first
    explicit VerdictWriter(std::size_t rank);

    /// Called while the verdict is due; a verdict with another outcome restarts the schedule.
    /// \returns whether the verdict is to be appended now.
    bool isDue(const publication::MoveVerdict&, MonotonicTime, std::mt19937_64&);

private:
    std::size_t m_rank;
    std::optional<publication::MoveOutcome> m_outcome;
    MonotonicTime m_nextAt;
    std::uint32_t m_attempts = 0;
};

}
