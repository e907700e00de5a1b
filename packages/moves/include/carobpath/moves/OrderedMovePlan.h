#pragma once

#include <chrono>

namespace carobpath::moves {

/// Bound on the requests that a faulty version may get between the order of a move and its deadline.
struct ExposureBound {
    /// Fraction of all requests to the service.
    double part = 0.1;
    /// Number of requests allowed in addition.
    double slack = 50;
};

/// The time plan of a move that takes seconds rather than minutes. The new version gets a small canary share until shortly
/// before the deadline. Then follows a load test, in which one instance alone takes enough calls to fill it, since some
/// versions fail under load only. Finally the new version takes all calls for a short time before the verdict.
///
/// A version can become faulty at any time, so the bound applies to the sum of its calls from the order to the deadline,
/// and the canary share is what the other phases leave of that sum. All times are relative to the order.
class OrderedMovePlan {
public:
    OrderedMovePlan(std::chrono::milliseconds duration, const ExposureBound&);

    std::chrono::milliseconds deadline() const { return m_duration; }
    /// Start and end of the load test, in which one instance takes all calls of the new version.
    std::chrono::milliseconds loadTestStart() const;
    std::chrono::milliseconds loadTestEnd() const;
    double loadTestShare(double callsPerSecond) const;
    /// \returns the number of calls that the instance gets during the load test.
    double loadTestCalls(double callsPerSecond) const;
    /// Time from which all calls go to the new version.
    std::chrono::milliseconds fullAt() const;
    /// Time at which the verdict is written, early enough to be stored by the deadline.
    std::chrono::milliseconds verdictAt() const;
    /// Time at which a version with insufficient evidence is taken back.
    std::chrono::milliseconds giveUpAt() const;
    /// \param callsPerSecond rate of the service over the whole fleet; 0 if it is not known yet
    double canaryShare(double callsPerSecond) const;

private:
    std::chrono::milliseconds m_duration;
    ExposureBound m_bound;
};

}
