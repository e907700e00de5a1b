#pragma once

#include "carobpath/access/Access.h"
#include "carobpath/moves/TrafficSplit.h"
#include "carobpath/publication/Objects.h"
#include "carobpath/quota/QuotaVerdict.h"
#include "carobpath/routing/Call.h"
#include "carobpath/routing/CallThrottle.h"
#include "carobpath/routing/ClaimResult.h"
#include "carobpath/routing/RouteTable.h"
#include "carobpath/routing/RunningBodies.h"
#include "carobpath/routing/UpstreamPicker.h"
#include "carobpath/routing/UpstreamStatistics.h"

#include <memory>
#include <optional>
#include <vector>

namespace carobpath::routing {

class EntryState;
struct UpstreamChoice;

/// Decides for one call at its entry node where it is sent, whether it is retried and how its caller is answered.
///
/// A non-repeatable call is sent to a second node only if the first attempt ended as \c NotRun; any other result is
/// final. A repeatable call is retried within its deadline, a small number of attempts and the node's retry budget.
/// A call that is not tried again is answered at once.
///
/// One command is outstanding at a time. The session enforces the deadline of each \c SendAttempt and reports
/// \c Unknown with \c UpstreamTimeout when it passes; \c onDeadline is for the deadline of the whole call.
class CallDecision {
public:
    /// Maximum number of backend servers that one call is sent to, unless its route sets another limit.
    static constexpr std::uint32_t s_maxAttempts = 4;
    /// Fraction of the time to the objective within which an upstream in the local failure domain must answer, so that
    /// enough time remains to send the call to a remote one.
    static constexpr double s_localDomainFraction = 0.7;
    /// The inactivity timeout of an attempt is the time left divided by \c s_inactivityDivisor, and at least
    /// \c s_minInactivityTimeout. A node signals every 200 ms that it still processes a call, but on a busy link the
    /// signal arrives late.
    static constexpr int s_inactivityDivisor = 4;
    static constexpr std::chrono::milliseconds s_minInactivityTimeout { 700 };
    /// Number of lost connections to backend servers after which a call is not retried: the request itself may crash
    /// the servers.
    static constexpr std::uint32_t s_maxBackendLosses = 2;

    /// Maximum number of nodes that are asked for the rest of a truncated body.
    static constexpr std::uint32_t s_maxResumes = 6;

    CallDecision(std::shared_ptr<EntryState>, CallRequest, MonotonicTime arrivedAt);
    ~CallDecision();
    CallDecision(const CallDecision&) = delete;
    CallDecision& operator=(const CallDecision&) = delete;

    /// \returns the first command; to be called once.
    CallCommand start(MonotonicTime now);
    /// The running attempt ended, either with the header of its answer or before it.
    CallCommand onAttemptFinished(const AttemptResult&, MonotonicTime now);
    /// The owner of the idempotency key answered, or could not be reached (\c Unavailable).
    CallCommand onClaimResult(const ClaimResult&, MonotonicTime now);
    /// The quota of the workspace was decided.
    CallCommand onQuotaVerdict(const quota::QuotaVerdict&, MonotonicTime now);
    /// \returns the final answer if the call's deadline has passed; the session cancels the running attempt.
    std::optional<CallCommand> onDeadline(MonotonicTime now);
    /// The node ends before the call has the header of an answer.
    /// \returns the final answer unless the call has ended; the session cancels the running attempt.
    std::optional<CallCommand> onNodeEnding(MonotonicTime now);
    /// The body of the relayed answer begins.
    /// \param length in bytes; 0 if unknown.
    void onBodyBegun(std::uint64_t length, MonotonicTime now);
    /// So many more bytes of it were passed on.
    void onBodyDelivered(std::uint64_t bytes);
    /// The relayed answer was passed on whole.
    void onAnswerWritten(MonotonicTime now);
    /// The caller disconnected: no answer is sent, and the session cancels the running attempt.
    void onCallerGone(MonotonicTime now);

    /// The body of the relayed answer was truncated. A repeatable call fetches the rest from another upstream of the same
    /// version, within the retry budget.
    /// \returns the attempt that fetches the rest, whose result is reported to \c onResumed; empty if there is none.
    std::optional<SendAttempt> resume(MonotonicTime now);
    void onResumed(const AttemptResult&, MonotonicTime now);

    /// Null if the call was refused before a route was found.
    const publication::Route* route() const { return m_route; }
    /// Null if the caller is anonymous, or if the call was refused before its caller was known.
    const publication::Workspace* workspace() const { return m_caller.workspace; }
    /// \returns whether the backend server beside this node is taken to have made the call while it runs another one.
    bool isInner() const { return m_isInner; }
    /// Offset of the configuration that was used for the call; empty if there was none.
    std::optional<std::uint64_t> configurationOffset() const;
    MonotonicTime deadline() const { return m_deadline; }
    /// \returns the time for which the caller waited in earlier tries, as far as its remaining time shows it.
    std::chrono::milliseconds waitedBefore() const { return m_waitedBefore; }
    bool ended() const { return m_phase == Phase::Ended; }

    /// Outcome to report to the owner of the idempotency key once the call has ended.
    /// \returns the outcome; empty if the call claimed no key or if another call holds the key.
    std::optional<Outcome> keyOutcome() const;

    /// \returns whether the call was admitted by the quota of its workspace and has ended without being run.
    bool leftQuotaUnused() const { return m_tookQuota && ended() && m_outcome == Outcome::NotRun; }

private:
    enum class Phase : std::uint8_t {
        Created,
        AwaitingQuota,
        AwaitingClaimResult,
        Attempting,
        Ended,
    };

    /// A candidate node that refused the call because of its load, and the wait that it reported.
    struct RefusedOffer {
        SendAttempt attempt;
        std::chrono::milliseconds wait {};
    };
    struct Attempt {
        NodeName node;
        bool toNext = false;
        /// Whether it was sent to a node of the local failure domain because of that.
        bool isLocal = false;
        MonotonicTime sentAt;
    };

    std::optional<Refusal> refusalAtArrival(MonotonicTime now);
    /// Determines the caller by its API key. \returns why the call may not use the route; empty if it may.
    std::optional<RefusalReason> authenticate();
    bool isTakenForInner() const;
    /// \returns the time that the caller has used up before this try.
    std::chrono::milliseconds timeUsedUp() const;
    /// Continues with a call that is within the quota of its workspace.
    CallCommand proceed(MonotonicTime now);
    /// Draws the service from the route's destinations, and whether the call goes to its next version.
    void drawDestination();
    /// \returns whether the call is refused without an offer, since the service's upstreams take far fewer.
    bool isThrottled(MonotonicTime now);
    OfferClass offerClass(MonotonicTime now) const;
    void reportToThrottle(const AttemptResult&, MonotonicTime now);
    std::uint32_t maxAttempts() const;
    void endBody();
    /// \returns whether a call that is sent now is expected to end before this node does; true unless the node is stopping.
    bool endsBeforeNode(MonotonicTime now) const;
    /// Bounds the time granted to an attempt by the time that this node has left.
    SendAttempt boundedByDrain(SendAttempt) const;
    std::optional<SendAttempt> nextAttempt(MonotonicTime now);
    std::optional<SendAttempt> pickAttempt(DomainScope, MonotonicTime now);
    /// \returns the versions that the call may be sent to, in order of preference.
    std::vector<VersionFilter> versionsFor(const moves::TrafficSplit&) const;
    /// \returns the time until an upstream may accept the call, if all of them take too few calls per second for it.
    std::optional<std::chrono::milliseconds> untilAccepted(MonotonicTime now) const;
    /// An attempt at the load-test node, which takes all calls of the next version at this moment, if the call is one
    /// of them.
    std::optional<SendAttempt> loadTestAttempt(MonotonicTime now);
    SendAttempt beginAttempt(const UpstreamChoice&, DomainScope, bool toNext, MonotonicTime now);
    /// One more attempt at the node that reported the shortest wait, although its answer will miss the objective.
    std::optional<SendAttempt> lateAttempt(MonotonicTime now);
    /// \returns whether the call is sent to another failure domain before it is offered in the local one.
    bool leavesDomain(MonotonicTime now);
    /// Tells the balance of the domains how long the call took in the local one.
    void reportToBalance(const AttemptResult&, MonotonicTime now);
    void recordRefusedOffer(const AttemptResult&);
    std::optional<MonotonicTime> objectiveFor(DomainScope, MonotonicTime now) const;
    SendAttempt attemptAt(const UpstreamChoice&, const VersionName&, MonotonicTime deadline) const;
    MonotonicTime attemptDeadline(MonotonicTime now) const;
    /// Empty for a non-repeatable call: it cannot be retried, so ending its attempt early gains nothing, and its answer
    /// may still arrive.
    std::optional<std::chrono::milliseconds> inactivityTimeout(MonotonicTime now) const;
    CallCommand send(SendAttempt);
    CallCommand sendFirst(MonotonicTime now);
    std::optional<CallCommand> retry(const AttemptResult&, MonotonicTime now);
    bool mayRetry(const AttemptResult&, MonotonicTime now) const;
    void recordAttempt(const AttemptResult&, MonotonicTime now);
    void closeAttempt(UpstreamSignal, std::chrono::nanoseconds latency, std::chrono::milliseconds cooldown, MonotonicTime now);
    CallCommand relay();
    CallCommand refuse(RefusalReason, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    CallCommand finish(CallCommand);
    bool repeatable() const;

    std::shared_ptr<EntryState> m_state;
    CallRequest m_request;
    MonotonicTime m_arrivedAt;
    MonotonicTime m_deadline;
    std::chrono::milliseconds m_waitedBefore {};
    std::shared_ptr<const RouteTable> m_table;
    const publication::Route* m_route = nullptr;
    access::Caller m_caller;
    /// Rank of the call in queues; see \c access::rankOf.
    std::uint32_t m_rank = 0;
    bool m_isInner = false;
    /// Class in which the call was offered last.
    OfferClass m_offerClass;
    Phase m_phase = Phase::Created;
    ServiceName m_service;
    bool m_wantsNext = false;
    bool m_keyClaimed = false;
    bool m_tookQuota = false;
    /// The strongest outcome of all attempts: \c NotRun only if every attempt ended as \c NotRun.
    Outcome m_outcome = Outcome::NotRun;
    std::optional<Attempt> m_attempt;
    SendAttempt m_sent;
    std::optional<RefusedOffer> m_bestRefusedOffer;
    bool m_triedLate = false;
    std::uint32_t m_resumes = 0;
    std::vector<NodeName> m_tried;
    /// Number of nodes in the local failure domain that the call was sent to.
    std::uint32_t m_localCandidates = 0;
    /// Number of backend servers that received or may have received the call, including those that refused it.
    std::uint32_t m_backendsReached = 0;
    std::uint32_t m_backendLosses = 0;
    std::optional<CallCommand> m_final;
    /// Version of the last attempt; a truncated body is resumed only from the same version.
    VersionName m_version;
    /// When the header of the relayed answer came.
    MonotonicTime m_headerAt;
    /// The body that is being passed on.
    std::optional<RunningBodies::Handle> m_body;
};

}
