#pragma once

#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/routing/Admission.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace carobpath::routing {

/// Result of an attempt, as far as it concerns the upstream.
enum class UpstreamSignal : std::uint8_t {
    Answered,
    /// A complete answer with status 5xx.
    ServerError,
    /// Refused for load by the admitting node or its backend server.
    Overloaded,
    /// Refused because the node or its backend server is leaving, or because it now serves another version.
    NotServing,
    /// No connection could be established, either to the node or from the node to its backend server.
    Unreachable,
    /// The connection failed or became unresponsive, or the attempt timed out.
    Lost,
    /// Ended by the caller; this is no evidence about the upstream.
    Abandoned,
};

/// Statistics of one upstream, from the calls of this node and the load that the upstream's node reports with its
/// answers. Observations of other nodes never change them; a new revision of the upstream's entry resets some of them.
class UpstreamStatistics {
public:
    /// Consecutive failures after which an upstream is ejected.
    static constexpr std::uint32_t s_ejectAfter = 3;
    /// Duration of the first ejection; each further one takes twice as long, up to \c s_maxEjection.
    static constexpr std::chrono::milliseconds s_initialEjection { 500 };
    static constexpr std::chrono::milliseconds s_maxEjection { 10000 };
    /// Time after the end of an ejection at which the upstream counts as healthy again even without a probe.
    static constexpr std::chrono::milliseconds s_recoveryTime { 10000 };
    /// Bounds of the cooldown of an overloaded upstream, during which others are preferred.
    static constexpr std::chrono::milliseconds s_minCooldown { 50 };
    static constexpr std::chrono::milliseconds s_maxCooldown { 1000 };
    /// Time for which an upstream that refused calls because it is leaving is skipped, unless its entry changes
    /// earlier.
    static constexpr std::chrono::milliseconds s_notServingTime { 5000 };
    /// Half-life of the reported number of calls: half of them are assumed to have finished after this time.
    static constexpr std::chrono::milliseconds s_loadHalfLife { 300 };
    /// Half-life of the observed latency and of the reported service time, which decay without new answers.
    static constexpr std::chrono::seconds s_latencyHalfLife { 10 };
    /// The reported service time decays to this fraction of the mean latency: low enough that an upstream which was
    /// slow is tried again, and not so low that all calls go to the upstream that was idle longest.
    static constexpr double s_minServiceFraction = 0.5;

    enum class Status : std::uint8_t {
        Healthy,
        /// Recently refused calls for load, or its ejection has ended and no probe has succeeded yet.
        Degraded,
        Ejected,
        NotServing,
    };

    void onSent(bool probe);
    void onFinished(UpstreamSignal, std::chrono::nanoseconds latency, std::chrono::milliseconds cooldown, MonotonicTime now);
    /// Handles the load that the node of the upstream reported at the end of a call of this node.
    void onLoad(const UpstreamLoad&, MonotonicTime now);
    /// Handles the revision of the entry that the node publishes about itself. A new revision ends the time for which
    /// the upstream is skipped as not serving; a new incarnation also resets failures, ejection, latency and errors.
    /// \param callsPerSecond limit of the backend server in the entry; empty if it names none.
    void onRevision(const Revision&, const std::optional<double>& callsPerSecond);
    /// Handles a refusal because the backend server takes no more calls per second. Calls of the rank and less urgent ones are
    /// not accepted until the wait is over.
    void onRateLimited(std::uint32_t priority, std::chrono::milliseconds wait, MonotonicTime now);

    Status status(MonotonicTime now) const;
    /// \returns whether one call may probe the upstream now.
    bool probeDue(MonotonicTime now) const;
    /// \returns the expected latency, or \p mean before the first answer. The value decays with its age, so that an
    /// upstream that was slow once is tried again.
    double latencySeconds(double mean, MonotonicTime now) const;
    /// \returns the same by what is known of the upstream over a longer time: as the report grows old, the calls there are
    /// assumed to become as many as they usually are, rather than none.
    double expectedSecondsByUsualLoad(double mean, MonotonicTime now) const;
    bool hasLoad() const { return m_loadAt != MonotonicTime {} && m_load.limit > 0; }
    /// \returns the expected time until an answer, based on the load reported last, the calls that this node has sent since
    /// and the observed overhead of the node next to the upstream; \p mean is used while nothing is known. The reported load and service time decay with their age.
    double expectedSeconds(double mean, MonotonicTime now) const;
    /// \returns the time until a call of the rank may be accepted, according to the refusals for its rate; 0 if it may be now.
    std::chrono::nanoseconds untilAccepted(std::uint32_t priority, MonotonicTime now) const;
    /// \returns the calls per second that the backend server takes, as far as this node knows.
    const std::optional<double>& callsPerSecond() const { return m_callsPerSecond; }
    double errorRate() const { return m_errorRate; }
    std::uint32_t inFlight() const { return m_inFlight; }
    /// \returns whether pooled connections to the node may be broken, because one of them became unresponsive.
    bool connectionsSuspect() const { return m_connectionsSuspect; }

private:
    /// Calls of the rank and less urgent ones are refused until then.
    struct RateRefusal {
        std::uint32_t priority = 0;
        MonotonicTime until;
    };

    /// \returns the time until the named rate allows one more call. The reported wait decays with its age.
    double rateWaitSeconds(double sentSince, MonotonicTime now) const;
    /// \returns the part of the observed latency that the backend server does not account for: the node next to it may have
    /// little processor time, or a busy link. The value decays with its age.
    double overheadSeconds(MonotonicTime now) const;
    double expectedSecondsWith(double reportedCalls, double mean, MonotonicTime now) const;
    double reportedServiceSeconds(double mean, MonotonicTime now) const;
    void countFailure(MonotonicTime now);
    void countAnswer(std::chrono::nanoseconds latency, bool error, MonotonicTime now);

    std::uint32_t m_inFlight = 0;
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_ejections = 0;
    bool m_probeRunning = false;
    bool m_connectionsSuspect = false;
    double m_latencySeconds = 0;
    double m_overheadSeconds = 0;
    double m_errorRate = 0;
    MonotonicTime m_latencyAt {};
    MonotonicTime m_ejectedUntil {};
    MonotonicTime m_cooldownUntil {};
    MonotonicTime m_notServingUntil {};
    Revision m_revision;
    UpstreamLoad m_load;
    /// Moving average of the calls in the reports.
    double m_usualCalls = 0;
    MonotonicTime m_loadAt {};
    std::uint32_t m_inFlightAtLoad = 0;
    std::optional<double> m_callsPerSecond;
    /// The limit in the last revision of this incarnation.
    std::optional<double> m_publishedRate;
    std::optional<RateRefusal> m_rateRefusal;
};

}
