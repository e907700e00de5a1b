#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace carobpath::routing {

/// Says when the slots of a backend server come free, by the times that its calls still need. The calls of a line take the
/// slots one after the other, the earliest first.
class SlotForecast {
public:
    /// \param remaining times that the running calls still need; there may be more of them than slots.
    SlotForecast(const std::vector<std::chrono::nanoseconds>& remaining, std::uint32_t slots);

    /// The next call in the line takes the earliest slot for this time.
    void take(std::chrono::nanoseconds serviceTime);
    /// \returns the time until the earliest slot is free.
    std::chrono::nanoseconds untilFree() const { return m_freeIn.top(); }

private:
    std::priority_queue<std::chrono::nanoseconds, std::vector<std::chrono::nanoseconds>, std::greater<>> m_freeIn;
};

}
