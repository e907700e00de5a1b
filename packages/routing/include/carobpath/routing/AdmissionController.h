#pragma once

#include "carobpath/capacity/InnerCalls.h"
#include "carobpath/capacity/InnerShare.h"
#include "carobpath/membership/NodeEntry.h"
#include "carobpath/routing/Admission.h"
#include "carobpath/routing/AdmissionQueue.h"
#include "carobpath/routing/BackendHealth.h"
#include "carobpath/routing/ConcurrencyLimit.h"
#include "carobpath/routing/CrashDetector.h"
#include "carobpath/routing/DownloadLimit.h"
#include "carobpath/routing/LearnedSpeed.h"
#include "carobpath/routing/RateLimiter.h"
#include "carobpath/routing/ReportedState.h"
#include "carobpath/routing/RunningCalls.h"
#include "carobpath/routing/SeenRequests.h"
#include "carobpath/routing/ServiceTimes.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace carobpath::routing {

/// Selects the load-control measures of an admission controller. The defaults are the values that a node runs with.
struct AdmissionPolicy {
    QueueOrder order;
    /// Fraction of the slots that downloads may not occupy. Unless it is zero, at least one slot is reserved.
    double reservedFraction = 1.0 / 6;
    /// Whether a call that is expected to miss its deadline is refused on arrival.
    bool shedByWait = true;
    /// Bandwidth of the instance's network link; 0 if unknown.
    double linkBytesPerSecond = 0;
    /// Half-life of the learned service time that is reported; 0 to report that of the last calls.
    std::chrono::microseconds speedMemory {};
};

/// Queries the node's knowledge of requests that crash backend servers.
struct FingerprintChecks {
    /// \returns how long the request is to be refused; nothing if it may run.
    std::function<std::optional<std::chrono::milliseconds>(Fingerprint, MonotonicTime now)> refusedFor;
    /// \returns whether the request is suspected of causing a crash. Two different suspects never run at the same
    /// time, so that a second crash identifies the culprit.
    std::function<bool(Fingerprint)> isSuspect;
};

/// Dispatches calls to the slots of the local upstream. A call is refused before any byte reaches the backend server,
/// so that every refusal has the outcome \c NotRun, except for a request that arrived twice.
class AdmissionController {
public:
    /// Bounds of the delay after which a refused caller may retry.
    static constexpr std::chrono::milliseconds s_minRetryAfter { 50 };
    static constexpr std::chrono::milliseconds s_maxRetryAfter { 5000 };
    /// Maximum queueing time of a call that may be late, as a fraction of the mean service time. In a longer queue
    /// such a call would wait without a chance of being served, since newer calls overtake it.
    static constexpr double s_maxLateWaitFraction = 0.5;

    /// Before any answer was timed, the service time is estimated as the time to the call's objective divided by this.
    static constexpr int s_initialEstimateDivisor = 2;

    /// A queued call is refused this long before its deadline at the latest, or once half of its time is left if that
    /// is shorter, so that its entry node learns that it did not run before it stops waiting.
    static constexpr std::chrono::milliseconds s_refusalLead { 50 };

    explicit AdmissionController(AdmissionPolicy policy = {});

    /// Refuses a request that arrived before as \c DuplicateInProgress with the outcome \c Unknown. That command is
    /// the only one returned, and it refers to the second copy of the request. An entry node never sends one call to
    /// the same node twice, except after a refusal for load.
    AdmissionCommands onArrival(const AdmissionRequest&, MonotonicTime now);
    AdmissionCommands onFinished(const AdmissionResult&, MonotonicTime now);
    /// Handles a disconnected caller or entry node. A queued call is removed without a command; a dispatched call
    /// occupies its slot until \c onFinished.
    AdmissionCommands onCancelled(const RequestId&, MonotonicTime now);
    /// Refuses queued calls that can no longer be served before their deadline. To be called several times within
    /// \c s_refusalLead.
    AdmissionCommands onTick(MonotonicTime now);

    /// Updates the upstream after an announcement of the backend server; without a value, the announcement has
    /// expired.
    /// \param run the run of the backend server that announced itself.
    AdmissionCommands setUpstream(std::optional<membership::Upstream>, MonotonicTime now, const membership::BackendRun& run = {});
    /// Handles what the backend server says about itself in an answer.
    /// \param sentAt when the answered call was sent to it.
    /// \returns the commands that follow; empty if the report changed nothing.
    std::optional<AdmissionCommands> onReport(const membership::BackendRun&, const BackendReport&, ReportSource, MonotonicTime sentAt, MonotonicTime now);
    const ReportedState& reported() const { return m_reported; }
    /// Takes the time that the instance's link needs for what was handed to the system.
    void setLinkBacklog(std::chrono::nanoseconds backlog, MonotonicTime now) { m_downloads.setBacklog(backlog, now); }
    void setFingerprintChecks(FingerprintChecks);
    /// Sets what is known of the inner calls of the backend server; without it, calls are admitted regardless of them.
    void setInnerCalls(std::shared_ptr<capacity::InnerCalls> it) { m_innerCalls = std::move(it); }
    /// \returns the calls per second of the route that are admitted with regard to their inner calls; empty if all are.
    std::optional<double> innerCallLimit(const RouteName&, MonotonicTime now) const;
    /// \returns whether an inner call of the backend server found no room since then.
    bool hasDeniedInnerCallSince(MonotonicTime time) const { return m_innerCalls && m_innerCalls->hasDeniedSince(time); }
    /// Handles a result of the health endpoint. It is only a hint and never changes the state of the upstream by
    /// itself.
    void onHealthHint(bool healthy, MonotonicTime now);
    /// Records a crash of the backend server: after a connection was lost, it refused a new one.
    void onProbeRefused(MonotonicTime now);
    /// Refuses all queued calls and all new ones; running calls finish.
    AdmissionCommands drain(MonotonicTime now);

    /// \returns the load of the upstream; all zero while there is none.
    UpstreamLoad load(MonotonicTime now) const;
    /// \returns the upstream with its load at this node and the state observed through calls, for publication in the
    /// membership.
    std::optional<membership::Upstream> upstream() const;
    bool draining() const;
    /// \returns whether the upstream started recently and is not yet as fast as it will be.
    bool isCold() const { return m_upstream && m_upstream->state == membership::UpstreamState::Cold; }
    std::uint32_t inFlight() const { return m_running.size(); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_queue.size()); }
    std::uint32_t limit() const { return m_limit.value(); }
    /// \returns the earliest deadline of a queued call.
    std::optional<MonotonicTime> nextTick() const { return m_queue.earliestDeadline(); }
    /// \returns the requests that may have crashed the backend server, oldest crash first. Each crash is returned
    /// once.
    std::optional<std::vector<Fingerprint>> takeCrash() { return m_crashes.takeCrash(); }

private:
    std::optional<Refusal> refusalAtArrival(const AdmissionRequest&, MonotonicTime now);
    std::optional<Refusal> refusalByState(const AdmissionRequest&, MonotonicTime now);
    /// Refuses a call whose inner calls would find no room.
    std::optional<Refusal> refusalForInnerCalls(const AdmissionRequest&, MonotonicTime now);
    void recordInnerCalls(const AdmissionResult&, const RunningCall&, MonotonicTime now);
    void enqueue(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    void dispatchWaiting(AdmissionCommands&, MonotonicTime now);
    void dispatch(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    void rejectExpired(AdmissionCommands&, MonotonicTime now);
    /// Refuses queued calls that can no longer meet their objective or their deadline, instead of holding them.
    void rejectUnattainable(AdmissionCommands&, MonotonicTime now);
    bool isUnattainable(const AdmissionRequest&, MonotonicTime now) const;
    /// Refuses calls that got no slot and whose refusal would reach the entry node too late if it waited any longer.
    void rejectBeforeDeadline(AdmissionCommands&, MonotonicTime now);
    void rejectAll(AdmissionCommands&, RefusalReason, std::chrono::milliseconds retryAfter);
    bool fits(const AdmissionRequest&, MonotonicTime now) const;
    /// \returns whether the free slots are kept for inner calls.
    bool areSlotsKept(MonotonicTime now) const;
    bool isSuspect(const AdmissionRequest&) const;
    bool isOtherSuspectRunning(const AdmissionRequest&) const;
    void recordResult(const AdmissionResult&, const RunningCall&, std::uint32_t inFlight, MonotonicTime now);
    std::uint32_t slotsFor(QueueClass, MonotonicTime now) const;
    /// \returns whether the limit kept other calls of the same kind waiting.
    std::chrono::nanoseconds reportedServiceTime(MonotonicTime now) const;
    bool wasLimiting(const RunningCall& ended, std::uint32_t inFlight, MonotonicTime now) const;
    std::chrono::nanoseconds expectedWait(QueueClass, MonotonicTime now) const;
    /// Queues the call, or refuses it for load, depending on the expected time of its answer.
    void enqueueByObjective(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    /// \returns the expected time from the dispatch of the call until its answer has been sent.
    std::chrono::nanoseconds expectedTime(const AdmissionRequest&, MonotonicTime now) const;
    std::chrono::nanoseconds expectedQueueTime(const AdmissionRequest&, MonotonicTime now) const;
    /// \returns the wait for a slot that downloads may use.
    std::chrono::nanoseconds waitForDownloadSlot(const std::vector<const AdmissionRequest*>& callsAhead, MonotonicTime now) const;
    /// Refuses the call. Its entry node may send it here again.
    void rejectForLoad(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    Refusal overloadRefusal(const AdmissionRequest&, MonotonicTime now) const;

    AdmissionPolicy m_policy;
    std::optional<membership::Upstream> m_upstream;
    bool m_draining = false;
    ConcurrencyLimit m_limit;
    BackendHealth m_health;
    ReportedState m_reported;
    RateLimiter m_rate;
    DownloadLimit m_downloads;
    ServiceTimes m_times;
    std::optional<LearnedSpeed> m_speed;
    AdmissionQueue m_queue;
    SeenRequests m_seen;
    FingerprintChecks m_fingerprints;
    CrashDetector m_crashes;
    RunningCalls m_running;
    capacity::InnerShare m_innerShare;
    std::shared_ptr<capacity::InnerCalls> m_innerCalls;
};

}
