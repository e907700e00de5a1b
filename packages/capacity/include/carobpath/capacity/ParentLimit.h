#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace carobpath::capacity {

/// Bounds the calls per second of one route at the node beside its backend server to what the services bear that these calls
/// call in turn. There is no bound until calls were wasted: they ran, and failed since an inner call of theirs was denied.
///
/// The bound follows the cubic curve of RFC 9438: it falls by the part of the inner calls that was denied, returns to the rate
/// at which calls were wasted within a second, stays near it, and leaves it faster and faster once no more are wasted.
class ParentLimit {
public:
    /// Part of the calls that may be wasted without lowering the bound.
    static constexpr double s_toleratedWaste = 0.05;
    /// Parts by which the bound is lowered at least and at most at a time.
    static constexpr double s_minDecrease = 0.1;
    static constexpr double s_maxDecrease = 0.5;
    /// Growth of the curve, per cubic second.
    static constexpr double s_growth = 0.1;
    /// The curve of calls that run for longer is slower by as much, since waste is known only at their end.
    static constexpr std::chrono::duration<double> s_shortRun { 0.4 };
    /// Lowest bound, in calls per second: only calls that run show that there is room again.
    static constexpr double s_leastRate = 0.5;
    /// The curve of a bound far below the usual rate grows as if the bound were this part of the usual rate.
    static constexpr double s_usualPart = 0.3;
    /// Time of calls that may come at once.
    static constexpr std::chrono::duration<double> s_burst { 0.2 };

    /// Takes a token. \returns whether the call is within the bound.
    bool tryAdmit(MonotonicTime now);
    /// A call that was admitted has not run.
    void giveBack();
    /// \returns the time until the next call is admitted.
    std::chrono::duration<double> untilAdmitted(MonotonicTime now) const;
    /// A call has ended.
    /// \param startedAt when it was sent to the backend server.
    /// \param wasted part to which it was wasted, from 0 to 1.
    /// \param denied part of the node's recent inner calls that were denied.
    void onEnded(MonotonicTime startedAt, double wasted, double denied, MonotonicTime now);

    /// \returns the bound in calls per second; empty if there is none.
    std::optional<double> callsPerSecond(MonotonicTime now) const;
    MonotonicTime lastWasteAt() const { return m_lastWasteAt; }

private:
    struct Curve {
        MonotonicTime since;
        /// Calls per second at which calls were wasted.
        double plateau = 0;
        /// Calls per second by which the bound was lowered.
        double drop = 0;
        /// Calls per second by which the curve grows after a second for each \c s_growth.
        double scale = 0;
        /// Factor by which the curve is slower than for short calls until it is back at the plateau; beyond it, the factor's power of
        /// two thirds, so that room that has come back is found.
        double slowness = 1;

        double timeToPlateau() const;
        double at(MonotonicTime now) const;
    };
    struct Window {
        MonotonicTime since;
        std::uint32_t admitted = 0;
        std::uint32_t refused = 0;
        std::uint32_t ended = 0;
        double wasted = 0;
    };

    bool isComplete(MonotonicTime now) const;
    void closeWindow(double denied, MonotonicTime now);
    bool isTooWasteful() const;
    void lower(double admittedRate, double denied, MonotonicTime now);
    /// Lifts a bound that has refused no call for a window and lies well above their rate.
    void liftIfIdle(double admittedRate, MonotonicTime now);
    double tokensAt(MonotonicTime now) const;

    std::optional<Curve> m_curve;
    Window m_window {};
    /// Highest rate of calls that were not wasted; forgotten slowly.
    double m_usualRate = 0;
    /// Mean time from the dispatch of a call to its end.
    std::chrono::duration<double> m_runTime {};
    double m_tokens = 0;
    MonotonicTime m_tokensAt {};
    MonotonicTime m_lastWasteAt {};
};

}
