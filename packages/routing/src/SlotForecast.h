#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace carobpath::routing {

/// Predicts when the slots of a backend server become free, from the expected remaining times of its calls. Queued
/// calls take the slots one after the other, each the one that becomes free first.
class SlotForecast {
public:
    /// \param remaining expected remaining times of the running calls; there may be more of them than slots.
    SlotForecast(const std::vector<std::chrono::nanoseconds>& remaining, std::uint32_t slots);

    /// Assigns the slot that becomes free first to the next queued call, for this time.
    void take(std::chrono::nanoseconds serviceTime);
    /// \returns the time until the first slot is free.
    std::chrono::nanoseconds untilFree() const { return m_freeIn.top(); }

private:
    std::priority_queue<std::chrono::nanoseconds, std::vector<std::chrono::nanoseconds>, std::greater<>> m_freeIn;
};

}
