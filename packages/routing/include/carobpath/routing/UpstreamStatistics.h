#pragma once

#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/routing/Admission.h"

#include <chrono>
#include <cstdint>

namespace carobpath::routing {

/// How an attempt ended, as far as it speaks about the upstream.
enum class UpstreamSignal : std::uint8_t {
    Answered,
    /// A whole answer with status 5xx.
    ServerError,
    /// Refused by the admitting node or its backend server for load.
    Overloaded,
    /// Refused since the node or its backend server is leaving, or serves another version by now.
    NotServing,
    /// No connection could be made, to the node or from it to its backend server.
    Unreachable,
    /// The connection broke or fell silent, or the attempt timed out.
    Lost,
    /// Ended by the caller; says nothing about the upstream.
    Abandoned,
};

/// What this node's own calls showed of one upstream. Hints that others spread never change it.
class UpstreamStatistics {
public:
    /// Failures in a row after which an upstream is ejected.
    static constexpr std::uint32_t s_ejectAfter = 3;
    static constexpr std::chrono::milliseconds s_firstEjection { 500 };
    static constexpr std::chrono::milliseconds s_longestEjection { 10000 };
    /// Time after an ejection's end at which the upstream counts as sound again without a probe.
    static constexpr std::chrono::milliseconds s_forgiveAfter { 10000 };
    /// Bounds of the time that an overloaded upstream is passed over.
    static constexpr std::chrono::milliseconds s_shortestRest { 50 };
    static constexpr std::chrono::milliseconds s_longestRest { 1000 };
    /// Time for which an upstream that refused as leaving is passed over, unless its entry changes before.
    static constexpr std::chrono::milliseconds s_notServingTime { 5000 };
    /// Time after which half of the calls that were told is taken as gone.
    static constexpr std::chrono::milliseconds s_loadHalfLife { 300 };
    /// Time after which half of an old latency is forgotten.
    static constexpr std::chrono::seconds s_latencyHalfLife { 10 };

    enum class Status : std::uint8_t {
        Healthy,
        /// Refused for load a moment ago, or its ejection has ended and no probe has succeeded yet.
        Degraded,
        Ejected,
        NotServing,
    };

    void onSent(bool probe);
    void onFinished(UpstreamSignal, std::chrono::nanoseconds latency, std::chrono::milliseconds rest, MonotonicTime now);
    /// Its node said how busy it is, at the end of a call of this node.
    void onLoad(const UpstreamLoad&, MonotonicTime now);
    /// A new entry of the node's own was seen.
    void onRevision(const Revision&);

    Status status(MonotonicTime now) const;
    /// \returns whether one call may try out the upstream now.
    bool probeDue(MonotonicTime now) const;
    /// \returns the expected latency, or \p mean before the first answer. It fades with its age, so that an upstream which
    /// was slow once is tried again.
    double latencySeconds(double mean, MonotonicTime now) const;
    bool hasLoad() const { return m_loadAt != MonotonicTime {} && m_load.limit > 0; }
    /// \returns the time until an answer is expected, by the load that was told last and this node's own calls since;
    /// \p mean before anything is known. What was told fades as it ages.
    double expectedSeconds(double mean, MonotonicTime now) const;
    double errorRate() const { return m_errorRate; }
    std::uint32_t inFlight() const { return m_inFlight; }
    /// \returns whether pooled connections to the node are suspect, since one fell silent.
    bool connectionsSuspect() const { return m_connectionsSuspect; }

private:
    void countFailure(MonotonicTime now);
    void countAnswer(std::chrono::nanoseconds latency, bool error, MonotonicTime now);

    std::uint32_t m_inFlight = 0;
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_ejections = 0;
    bool m_probeRunning = false;
    bool m_connectionsSuspect = false;
    double m_latencySeconds = 0;
    double m_errorRate = 0;
    MonotonicTime m_latencyAt {};
    MonotonicTime m_ejectedUntil {};
    MonotonicTime m_restsUntil {};
    MonotonicTime m_notServingUntil {};
    Revision m_revision;
    UpstreamLoad m_load;
    MonotonicTime m_loadAt {};
    std::uint32_t m_inFlightAtLoad = 0;
};

}
