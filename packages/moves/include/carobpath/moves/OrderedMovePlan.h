#pragma once

#include <chrono>

namespace carobpath::moves {

/// What a bad version of a service may get between the order of a move and its deadline.
struct ExposureBound {
    /// Part of all requests that reach the service.
    double part = 0.1;
    /// Requests besides.
    double slack = 50;
};

/// The time plan of a move that has seconds rather than minutes: a small share until shortly before the deadline, then a
/// moment in which one instance alone takes as many calls as fill it, since some versions fail under load only, then all
/// calls for a moment, and the verdict.
///
/// A version can turn bad at any time, so what bounds the harm is the sum of its calls from the order to the deadline:
/// the share is as large as that sum leaves it. All times count from the order.
class OrderedMovePlan {
public:
    OrderedMovePlan(std::chrono::milliseconds duration, const ExposureBound&);

    std::chrono::milliseconds deadline() const { return m_duration; }
    /// When one instance begins and ends to take the new version's calls alone.
    std::chrono::milliseconds focusAt() const;
    std::chrono::milliseconds focusEnd() const;
    double focusShare(double callsPerSecond) const;
    /// \returns how many calls the instance gets in that time.
    double focusCalls(double callsPerSecond) const;
    /// When all calls go to the new version.
    std::chrono::milliseconds fullAt() const;
    /// When the verdict is written, early enough to stand at the deadline.
    std::chrono::milliseconds verdictAt() const;
    /// When a version that nothing showed to be good is taken back.
    std::chrono::milliseconds giveUpAt() const;
    /// \param callsPerSecond of the service over the whole fleet; 0 where it is not known yet.
    double canaryShare(double callsPerSecond) const;

private:
    std::chrono::milliseconds m_duration;
    ExposureBound m_bound;
};

}
