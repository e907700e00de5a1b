#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/NodeEntry.h"

#include <cstdint>

namespace carobpath::routing {

/// How many calls an upstream is given at a time: from 1 to its announced slots. It starts small and grows with
/// answers (slow start), and falls below the slots where the upstream itself refuses work.
class ConcurrencyLimit {
public:
    /// What is left of the limit after a refusal.
    static constexpr double s_decrease = 0.7;
    /// Refusals within this time of a decrease belong to the same burst and decrease nothing.
    static constexpr std::chrono::milliseconds s_burst { 100 };

    /// Time for which an answer shows how many calls the upstream works on at a time.
    static constexpr std::chrono::seconds s_answeredCounts { 1 };

    /// An upstream was seen for the first time, or came back: starts again from a small limit.
    void restart(const membership::Upstream&);
    /// The same upstream announced itself again, perhaps with other slots or in another state.
    void update(const membership::Upstream&);

    /// \param inFlight calls in flight with the answered one.
    /// \param wasUsed whether no other call of its kind was let in beside it. A limit that is not used does not grow.
    void onAnswered(std::uint32_t inFlight, bool wasUsed, MonotonicTime now);
    /// The upstream refused a call. That lowers the limit where it did not answer as many calls at a time a moment before:
    /// some upstreams refuse a part of their calls while they have slots free.
    /// \param inFlight calls in flight with the refused one.
    void onRefused(std::uint32_t inFlight, MonotonicTime now);

    /// Calls that may be in flight at a time.
    std::uint32_t value() const;

private:
    /// \returns how many calls the upstream was seen to work on at a time.
    std::uint32_t answeredLevel(MonotonicTime now) const;

    double m_limit = 1;
    std::uint32_t m_slots = 1;
    bool m_cold = true;
    bool m_refusedBefore = false;
    MonotonicTime m_decreasedAt {};
    std::uint32_t m_answeredLevel = 0;
    MonotonicTime m_answeredAt {};
};

}
