#pragma once

#include "carobpath/publication/Objects.h"
#include "carobpath/routing/Call.h"
#include "carobpath/routing/ClaimResult.h"
#include "carobpath/routing/RouteTable.h"
#include "carobpath/routing/UpstreamPicker.h"
#include "carobpath/routing/UpstreamStatistics.h"

#include <memory>
#include <optional>
#include <vector>

namespace carobpath::routing {

class EntryState;
struct UpstreamChoice;

/// Decides one call at its entry node: where it is sent, whether it is sent again, and what its caller is told.
///
/// A call that may not be repeated goes to a second place only after the first said \c NotRun; after any other end of
/// an attempt it is answered. A call that may be repeated is sent again within its deadline, a small number of attempts
/// and the node's retry budget. Whatever is given up on is answered at once.
///
/// One command is outstanding at a time. The session enforces the deadline of each \c SendAttempt and reports
/// \c Unknown with \c UpstreamTimeout when it passes; \c onDeadline is for the deadline of the whole call.
class CallDecision {
public:
    /// Backend servers that one call is sent to at most, where its route does not say.
    static constexpr std::uint32_t s_maxAttempts = 4;
    /// Part of the time to the objective within which an upstream of the own failure domain must answer, where others
    /// are to be asked in good time too.
    static constexpr double s_ownDomainPart = 0.7;
    /// Silence of another node after which a call is sent elsewhere: this part of the time left, and no less than the
    /// time. A node says every 200 ms that it still holds a call, but on a busy link that comes late.
    static constexpr int s_silenceDivisor = 4;
    static constexpr std::chrono::milliseconds s_shortestSilence { 700 };
    /// Backend servers that one call may lose its connection to: the request itself may be what ends them.
    static constexpr std::uint32_t s_maxBackendLosses = 2;

    CallDecision(std::shared_ptr<EntryState>, CallRequest, MonotonicTime arrivedAt);
    ~CallDecision();
    CallDecision(const CallDecision&) = delete;
    CallDecision& operator=(const CallDecision&) = delete;

    /// \returns the first command; to be called once.
    CallCommand start(MonotonicTime now);
    /// The running attempt ended before or with its answer's header.
    CallCommand onAttemptFinished(const AttemptResult&, MonotonicTime now);
    /// The owner of the idempotency key answered, or could not be reached (\c Unavailable).
    CallCommand onClaimResult(const ClaimResult&, MonotonicTime now);
    /// \returns the final answer if the call's deadline has passed; the session cancels the running attempt.
    std::optional<CallCommand> onDeadline(MonotonicTime now);
    /// The caller went away: nothing is answered, and the session cancels the running attempt.
    void onCallerGone(MonotonicTime now);

    /// The body of the answer that is being relayed was cut short. A call that may be repeated goes on with the rest from
    /// another upstream of the same version, within the retry budget.
    /// \returns where to ask for the rest; its end is reported by \c onResumed.
    std::optional<SendAttempt> resume(MonotonicTime now);
    void onResumed(const AttemptResult&, MonotonicTime now);

    /// Nothing where the call was refused before a route was found.
    const publication::Route* route() const { return m_route; }
    /// Offset of the configuration that the call was decided by; nothing where there was none.
    std::optional<std::uint64_t> configurationOffset() const;
    MonotonicTime deadline() const { return m_deadline; }
    bool ended() const { return m_phase == Phase::Ended; }

    /// How the holder of an idempotency key ended, to be reported to the key's owner once the call has ended.
    /// \returns nothing where no key was asked for, or the key went to another call.
    std::optional<Outcome> keyOutcome() const;

private:
    enum class Phase : std::uint8_t {
        Created,
        AwaitingLedger,
        Attempting,
        Ended,
    };

    /// A place that refused for load, and the wait that it told.
    struct Offer {
        SendAttempt attempt;
        std::chrono::milliseconds wait {};
    };
    struct Attempt {
        NodeName node;
        bool toNext = false;
        MonotonicTime sentAt;
    };

    std::optional<Refusal> refusalAtArrival(MonotonicTime now);
    /// Draws the service among the route's destinations, and whether its next version is wanted.
    void drawDestination();
    std::uint32_t mostAttempts() const;
    std::optional<SendAttempt> nextAttempt(MonotonicTime now);
    std::optional<SendAttempt> pickAttempt(DomainScope, MonotonicTime now);
    /// The upstream that takes all calls of the next version at this moment, where the call is one of them.
    std::optional<SendAttempt> focusAttempt(MonotonicTime now);
    SendAttempt take(const UpstreamChoice&, DomainScope, bool toNext, MonotonicTime now);
    /// One more try where a refusal promised the shortest wait, though the answer will be late.
    std::optional<SendAttempt> lateAttempt(MonotonicTime now);
    void rememberOffer(const AttemptResult&);
    std::optional<MonotonicTime> objectiveFor(DomainScope, MonotonicTime now) const;
    SendAttempt attemptAt(const UpstreamChoice&, const VersionName&, MonotonicTime deadline) const;
    MonotonicTime attemptDeadline(MonotonicTime now) const;
    /// Nothing for a call that may not be repeated: to give it up sooner wins nothing, and its answer may come yet.
    std::optional<std::chrono::milliseconds> inactivityTimeout(MonotonicTime now) const;
    CallCommand send(SendAttempt);
    CallCommand sendFirst(MonotonicTime now);
    std::optional<CallCommand> retry(const AttemptResult&, MonotonicTime now);
    bool mayRunElsewhere(const AttemptResult&, MonotonicTime now) const;
    void recordAttempt(const AttemptResult&, MonotonicTime now);
    void closeAttempt(UpstreamSignal, std::chrono::nanoseconds latency, std::chrono::milliseconds rest, MonotonicTime now);
    CallCommand relay();
    CallCommand refuse(RefusalReason, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    CallCommand finish(CallCommand);
    bool repeatable() const;

    std::shared_ptr<EntryState> m_state;
    CallRequest m_request;
    MonotonicTime m_arrivedAt;
    MonotonicTime m_deadline;
    std::shared_ptr<const RouteTable> m_table;
    const publication::Route* m_route = nullptr;
    Phase m_phase = Phase::Created;
    ServiceName m_service;
    bool m_wantsNext = false;
    bool m_keyAsked = false;
    /// The strongest outcome over all attempts: \c NotRun only while each of them was.
    Outcome m_outcome = Outcome::NotRun;
    std::optional<Attempt> m_attempt;
    SendAttempt m_sent;
    std::optional<Offer> m_bestOffer;
    bool m_triedLate = false;
    std::vector<NodeName> m_tried;
    /// Places of the own failure domain that the call was offered to.
    std::uint32_t m_ownPlaces = 0;
    /// Backend servers that were handed the call, be it that they refused it.
    std::uint32_t m_backendsReached = 0;
    std::uint32_t m_backendLosses = 0;
    std::optional<CallCommand> m_final;
    /// Version of the last attempt; the rest of a body comes from no other.
    VersionName m_version;
};

}
