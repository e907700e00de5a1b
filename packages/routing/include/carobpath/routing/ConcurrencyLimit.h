#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/NodeEntry.h"

#include <cstdint>

namespace carobpath::routing {

/// Limits the number of concurrent calls at an upstream, from 1 to the number of announced slots. The limit starts at
/// half of the slots, grows with answers while it is reached, and decreases when the upstream itself refuses calls.
class ConcurrencyLimit {
public:
    /// Factor by which a refusal reduces the limit.
    static constexpr double s_decreaseFactor = 0.7;
    /// Refusals within this time after a decrease belong to the same burst and do not decrease the limit again.
    static constexpr std::chrono::milliseconds s_refusalBurst { 100 };

    /// Time for which an answer is evidence of how many concurrent calls the upstream can handle.
    static constexpr std::chrono::seconds s_answeredLevelLifetime { 1 };

    /// Starts again from half of the slots, for an upstream that is new or has recovered.
    void restart(const membership::Upstream&);
    /// Handles a repeated announcement of the same upstream, possibly with another number of slots or another state.
    void update(const membership::Upstream&);

    /// \param inFlight calls in flight, including the answered one.
    /// \param wasLimiting whether the limit allowed no further call of the same kind. A limit that is not reached does
    /// not grow.
    void onAnswered(std::uint32_t inFlight, bool wasLimiting, MonotonicTime now);
    /// Lowers the limit after a refusal by the upstream, unless the upstream recently answered while it had as many
    /// concurrent calls: some upstreams refuse a part of their calls although slots are free.
    /// \param inFlight calls in flight, including the refused one.
    void onRefused(std::uint32_t inFlight, MonotonicTime now);

    /// \returns the maximum number of concurrent calls.
    std::uint32_t value() const;

private:
    /// \returns the highest number of concurrent calls at which the upstream recently answered.
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
