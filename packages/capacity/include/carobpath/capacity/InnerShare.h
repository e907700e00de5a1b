#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>

namespace carobpath::capacity {

/// Keeps slots of a backend server for inner calls: their callers have run already, and fail if these are denied. Slots are kept
/// only after one was denied here, and as many as the inner calls use by their rate and their time (Little's law).
class InnerShare {
public:
    /// Time after the last denied inner call for which slots are kept.
    static constexpr std::chrono::seconds s_keptFor { 2 };

    void onArrived(MonotonicTime now);
    void onDenied(MonotonicTime now);
    void onAnswered(std::chrono::nanoseconds serviceTime);

    /// \returns the number of slots that other calls may not take; half of the limit at most.
    std::uint32_t keptSlots(std::uint32_t limit, MonotonicTime now) const;

private:
    /// Weighted count of the recent arrivals.
    double m_arrivals = 0;
    MonotonicTime m_arrivedAt {};
    MonotonicTime m_keptUntil {};
    std::chrono::duration<double> m_serviceTime {};
};

}
