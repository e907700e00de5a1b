#pragma once

#include "carobpath/membership/NodeEntry.h"
#include "carobpath/routing/Admission.h"
#include "carobpath/routing/AdmissionQueue.h"
#include "carobpath/routing/BackendHealth.h"
#include "carobpath/routing/ConcurrencyLimit.h"
#include "carobpath/routing/CrashDetector.h"
#include "carobpath/routing/DownloadLimit.h"
#include "carobpath/routing/RunningCalls.h"
#include "carobpath/routing/SeenRequests.h"
#include "carobpath/routing/ServiceTimes.h"

#include <functional>
#include <optional>
#include <vector>

namespace carobpath::routing {

/// Which measures an admission controller takes; the default is what a node runs with.
struct AdmissionPolicy {
    QueueOrder order;
    /// Part of the slots that downloads may not take; one slot at least unless it is zero.
    double reservedFraction = 1.0 / 6;
    /// Refuse at arrival what would miss its deadline.
    bool shedByWait = true;
    /// What the instance's link carries; 0 where it is not known.
    double linkBytesPerSecond = 0;
};

/// What a node holds of requests that crash backend servers.
struct FingerprintChecks {
    /// Says for how long the request is to be refused.
    std::function<std::optional<std::chrono::milliseconds>(Fingerprint, MonotonicTime now)> refusedFor;
    /// Says whether the request is suspected. One suspect is not dispatched beside another, so that
    /// a second crash tells which of them it was.
    std::function<bool(Fingerprint)> isSuspect;
};

/// Lets calls into the slots of the upstream beside this node. Each refusal is given before a byte reaches the
/// backend server and so is \c NotRun, but for a request that arrived twice.
class AdmissionController {
public:
    /// Bounds of the time after which a refused caller may come back.
    static constexpr std::chrono::milliseconds s_shortestRetryAfter { 50 };
    static constexpr std::chrono::milliseconds s_longestRetryAfter { 5000 };
    /// Part of the mean service time that a call which may be late waits at most: in a longer line it would be held
    /// without hope while newer calls pass it.
    static constexpr double s_lateWaitPart = 0.5;

    /// Part of the time to a call's objective that its service is taken to need before any answer was timed.
    static constexpr int s_guessDivisor = 2;

    explicit AdmissionController(AdmissionPolicy policy = {});

    /// A request that arrived before is refused as \c DuplicateInProgress, with an outcome of \c Unknown; that command
    /// comes alone and belongs to the newcomer. An entry node never sends one call to the same node twice.
    AdmissionCommands onArrival(const AdmissionRequest&, MonotonicTime now);
    AdmissionCommands onFinished(const AdmissionResult&, MonotonicTime now);
    /// The caller or its entry node went away. A waiting call is dropped without a command; one that was dispatched
    /// keeps its slot until \c onFinished.
    AdmissionCommands onCancelled(const RequestId&, MonotonicTime now);
    /// Drops waiting calls whose deadline has passed. To be called at \c nextTick or later.
    AdmissionCommands onTick(MonotonicTime now);

    /// The backend server announced itself, or (nothing) its announcement lapsed.
    AdmissionCommands setUpstream(std::optional<membership::Upstream>, MonotonicTime now);
    void setFingerprintChecks(FingerprintChecks);
    /// What the health endpoint said; a hint that decides nothing alone.
    void onHealthHint(bool healthy, MonotonicTime now);
    /// After a lost connection, a new one to the backend server was refused: it has crashed.
    void onProbeRefused(MonotonicTime now);
    /// Refuses what waits and all that comes; what is in flight ends.
    AdmissionCommands drain(MonotonicTime now);

    /// \returns how busy the upstream is; all zero while there is none.
    UpstreamLoad load() const;
    /// \returns the upstream with the state that calls showed and the load at this node, for the membership.
    std::optional<membership::Upstream> upstream() const;
    bool draining() const;
    /// \returns whether the upstream started a moment ago and is slower than it will be.
    bool isCold() const { return m_upstream && m_upstream->state == membership::UpstreamState::Cold; }
    std::uint32_t inFlight() const { return m_running.size(); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_queue.size()); }
    std::uint32_t limit() const { return m_limit.value(); }
    /// \returns the earliest deadline of a waiting call.
    std::optional<MonotonicTime> nextTick() const { return m_queue.earliestDeadline(); }
    /// \returns the requests that may have crashed the backend server, once for each crash, the earliest first.
    std::optional<std::vector<Fingerprint>> takeCrash() { return m_crashes.takeCrash(); }

private:
    std::optional<Refusal> refusalAtArrival(const AdmissionRequest&, MonotonicTime now);
    std::optional<Refusal> refusalByState(const AdmissionRequest&, MonotonicTime now);
    void enqueue(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    void dispatchWaiting(AdmissionCommands&, MonotonicTime now);
    void dispatch(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    void rejectExpired(AdmissionCommands&, MonotonicTime now);
    /// Refuses what waits and has come to miss its objective: it is no use to hold it until its deadline.
    void rejectHopeless(AdmissionCommands&, MonotonicTime now);
    void rejectAll(AdmissionCommands&, RefusalReason, std::chrono::milliseconds retryAfter);
    bool fits(const AdmissionRequest&, MonotonicTime now) const;
    bool isSuspect(const AdmissionRequest&) const;
    bool runsBesideSuspect(const AdmissionRequest&) const;
    void learn(const AdmissionResult&, const RunningCall&, std::uint32_t inFlight, MonotonicTime now);
    std::uint32_t slotsFor(QueueClass, MonotonicTime now) const;
    /// \returns whether the limit was what kept other calls of the kind out.
    bool wasUsedBy(const RunningCall& ended, std::uint32_t inFlight, MonotonicTime now) const;
    std::chrono::nanoseconds expectedWait(QueueClass, MonotonicTime now) const;
    /// Takes the call, or refuses it for load, by the time at which its answer is expected.
    void enqueueByObjective(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    /// From its dispatch to the moment at which its answer has left.
    std::chrono::nanoseconds expectedTime(const AdmissionRequest&, MonotonicTime now) const;
    std::chrono::nanoseconds waitBefore(const AdmissionRequest&, MonotonicTime now) const;
    /// The wait among downloads, which may not take all slots.
    std::chrono::nanoseconds waitAmongDownloads(const std::vector<const AdmissionRequest*>& before, MonotonicTime now) const;
    /// Its entry node may send the call here again.
    void rejectForLoad(const AdmissionRequest&, AdmissionCommands&, MonotonicTime now);
    Refusal overloaded(const AdmissionRequest&, MonotonicTime now) const;

    AdmissionPolicy m_policy;
    std::optional<membership::Upstream> m_upstream;
    bool m_draining = false;
    ConcurrencyLimit m_limit;
    BackendHealth m_health;
    DownloadLimit m_downloads;
    ServiceTimes m_times;
    AdmissionQueue m_queue;
    SeenRequests m_seen;
    FingerprintChecks m_fingerprints;
    CrashDetector m_crashes;
    RunningCalls m_running;
};

}
