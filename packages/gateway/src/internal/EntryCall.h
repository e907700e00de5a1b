#pragma once

#include "internal/EntryHandler.h"
#include "internal/ResumingBody.h"
#include "internal/UpstreamExchange.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace carobpath::gateway::Detail {

/// One caller's call from its header to its final answer. Carries the commands of its decision out.
class EntryCall : public std::enable_shared_from_this<EntryCall> {
public:
    EntryCall(EntryHandler&, ServerExchange::Pointer, routing::CallRequest);

    void start();

private:
    void perform(const routing::CallCommand&);
    void send(const routing::SendAttempt&);
    void awaitLedger(const routing::AwaitClaimResult&);
    void onClaimResult(const routing::ClaimResult&);
    void awaitQuota(const routing::AwaitQuota&);
    void onQuotaVerdict(const WorkspaceName&, const quota::QuotaVerdict&);
    /// Reports the end of the call to the owners of its idempotency key and of its workspace's quota.
    void reportEnd();
    void answer(const routing::Refusal&);
    void relayAnswer();
    LinkUse linkUse() const;
    std::shared_ptr<BodySource> answerBody();
    void askRest(const ResumableBody&, std::uint64_t from, std::function<void(ResumingBody::ExchangePointer)>);
    ExchangeTarget targetOf(const routing::SendAttempt&) const;
    void onHeader(std::optional<ExchangeFailure>);
    void onNodeEnding();
    /// The caller's connection ended before the answer began.
    void onCallerGone(AnswerEnd);
    ResponseHeader headerForCaller() const;
    void observeAttempt(const routing::AttemptResult&);
    /// \returns how the call ended, seen as one that found room or none.
    capacity::InnerCallEnd innerCallEnd(std::optional<routing::RefusalReason>) const;
    void observe(unsigned status, routing::Outcome, std::optional<routing::RefusalReason>, AnswerEnd);

    EntryHandler& m_handler;
    ServerExchange::Pointer m_caller;
    routing::CallRequest m_call;
    std::shared_ptr<routing::CallDecision> m_decision;
    std::shared_ptr<UpstreamExchange> m_exchange;
    std::optional<routing::SendAttempt> m_attempt;
    MonotonicTime m_attemptStartedAt;
    /// When the header of the answer that is relayed came; empty before.
    std::optional<MonotonicTime> m_headerAt;
    boost::asio::steady_timer m_ledgerTimer;
    bool m_ledgerAnswered = false;
    bool m_answered = false;
};

}
