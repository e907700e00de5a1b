#pragma once

#include "carobpath/capacity/InnerCalls.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/quota/QuotaVerdict.h"
#include "carobpath/routing/Admission.h"
#include "carobpath/routing/BackendReport.h"
#include "carobpath/routing/Call.h"
#include "carobpath/routing/CallDecision.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath::gateway {

/// A call that the backend server beside this node dealt with; evidence for moves and quarantine.
struct BackendObservation {
    RequestId id;
    RouteName route;
    VersionName version;
    std::uint64_t fingerprint = 0;
    routing::BackendResult result = routing::BackendResult::Answered;
    /// Time from dispatch to the header of the answer.
    std::chrono::nanoseconds latency {};
};

/// How the writing of an answer ended.
enum class AnswerEnd : std::uint8_t {
    Whole,
    /// The upstream's answer broke off.
    CutByUpstream,
    /// The other end of the connection took no more of it.
    CutByReceiver,
    /// This node ended before.
    CutByStop,
};

/// \returns the text that stands in logs: "whole", "cut-by-upstream", "cut-by-receiver", "cut-by-stop".
std::string_view toString(AnswerEnd);

/// The end of a caller's call at the node that it entered.
struct CallObservation {
    RequestId id;
    RouteName route;
    ServiceName service;
    /// Workspace of the caller; empty for an anonymous one.
    WorkspaceName workspace;
    unsigned status = 0;
    routing::Outcome outcome = routing::Outcome::NotRun;
    std::optional<routing::RefusalReason> reason;
    std::uint32_t attempts = 0;
    std::chrono::nanoseconds latency {};
    /// Time from the first byte of the request to the header of the answer that was relayed; empty where none was.
    std::optional<std::chrono::nanoseconds> headerLatency;
    /// Time that the caller gave the call; empty where it did not say.
    std::optional<std::chrono::milliseconds> callerTimeout;
    /// Time for which the caller is taken to have waited in earlier tries.
    std::chrono::milliseconds waitedBefore {};
    /// Offset of the configuration that decided; empty where there was none.
    std::optional<std::uint64_t> configuration;
    /// The route's objective for the latency; 0 where it has none.
    std::chrono::milliseconds objective {};
    AnswerEnd answerEnd = AnswerEnd::Whole;
    /// Empty unless the call is taken for one that the backend server beside this node made.
    std::optional<capacity::InnerCallEnd> innerCallEnd;
};

/// The end of one attempt at the entry node.
struct AttemptObservation {
    RequestId id;
    std::uint32_t number = 0;
    NodeName node;
    routing::Outcome outcome = routing::Outcome::Unknown;
    std::optional<routing::RefusalReason> reason;
    /// HTTP status of the answer; 0 where there was none.
    unsigned status = 0;
    std::chrono::nanoseconds latency {};
    /// Time that the attempt was given.
    std::chrono::nanoseconds granted {};
    routing::ChoiceBasis basis;
    /// How busy the upstream was, where its node said so.
    std::optional<routing::UpstreamLoad> load;
};

/// A call that the admitting node refused.
struct AdmissionRefusal {
    RequestId id;
    RouteName route;
    routing::Refusal refusal;
    /// What decided: the time left to the deadline and to the objective, and how busy the upstream is.
    std::chrono::nanoseconds deadlineLeft {};
    std::optional<std::chrono::nanoseconds> objectiveLeft;
    routing::UpstreamLoad load;
    /// Calls per second of the route that are admitted with regard to their inner calls; empty if all are.
    std::optional<double> innerCallLimit;
};

/// A report of the backend server beside this node about itself.
struct BackendReportObservation {
    /// Call whose answer carried the report.
    RequestId id;
    /// Instance of the backend server.
    std::string instance;
    routing::BackendReport report;
    /// The limit in force after the report, in calls per second; empty if there is none.
    std::optional<double> callsPerSecond;
};

using LedgerHandler = std::function<void(routing::ClaimResult)>;
using QuotaHandler = std::function<void(const quota::QuotaVerdict&)>;

/// What the gateway asks of the rest of the node. All are called on the thread of the io_context.
struct GatewayHooks {
    /// Records an idempotency key before its call is sent.
    std::function<void(const routing::AwaitClaimResult&, const RequestId&, LedgerHandler)> claimKey;
    /// The call that holds a key has ended. One that has not run opens the key again.
    std::function<void(const IdempotencyKey&, const RouteName&, const RequestId&, routing::Outcome)> endKey;
    /// Asks whether a call is within the quota of its workspace; may be answered at once. Without it, every call is.
    std::function<void(const routing::AwaitQuota&, QuotaHandler)> takeQuota;
    /// A call that was admitted by the quota of the workspace has not run.
    std::function<void(const WorkspaceName&)> giveBackQuota;
    std::function<void(const BackendObservation&)> onBackend;
    /// The backend server broke a connection and takes no new one: it has crashed. The call whose connection broke is
    /// answered once the handler is called, so that other nodes know before the caller can send the request again.
    std::function<void(std::function<void()> told)> onBackendCrash;
    std::function<void(const CallObservation&)> onCall;
    std::function<void(const AttemptObservation&)> onAttempt;
    std::function<void(const AdmissionRefusal&)> onAdmissionRefused;
    /// What the backend server reports about itself has changed, or a report cannot be read.
    std::function<void(const BackendReportObservation&)> onBackendReport;
    /// This many pipelined requests of callers were read and not handled when their connection ended.
    std::function<void(std::size_t)> onRequestsDropped;
    /// A request was refused since it found no room among the bytes that are held.
    std::function<void()> onRequestShed;
    /// Reads the hybrid clock as text, for a message to another node.
    std::function<std::string()> hybridNow;
    /// A message from another node came with this reading.
    std::function<void(std::string_view)> onHybridTime;
};

}
