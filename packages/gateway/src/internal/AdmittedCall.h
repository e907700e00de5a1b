#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/routing/Admission.h"
#include "internal/AdmissionHandler.h"
#include "internal/ServerExchange.h"
#include "internal/UpstreamExchange.h"

#include <memory>

namespace carobpath::gateway::Detail {

/// One forwarded call from its arrival at the admitting node to its answer.
class AdmittedCall : public std::enable_shared_from_this<AdmittedCall> {
public:
    AdmittedCall(AdmissionHandler&, ServerExchange::Pointer, routing::AdmissionRequest);

    /// Watches for the caller's leaving and keeps the entry node informed while the call waits.
    void wait();

    /// Sends the call to the backend server.
    void dispatch(const std::optional<Backend>&);

    const routing::AdmissionRequest& admission() const { return m_request; }

    /// Answers with a refusal of this node.
    void reject(const routing::Refusal&);

private:
    void onHeader(std::optional<ExchangeFailure>);
    void onFailure(ExchangeFailure);
    /// Passes on what the backend server says about itself in its answer.
    void reportBackend();
    void refuseForBackend();
    void relay();
    LinkUse linkUse() const;
    void onCallerGone();
    /// This node ends before the backend server has answered.
    void onNodeEnding();
    void finish(routing::BackendResult);

    AdmissionHandler& m_handler;
    ServerExchange::Pointer m_caller;
    routing::AdmissionRequest m_request;
    std::shared_ptr<UpstreamExchange> m_exchange;
    /// The run of the backend server that the call was sent to.
    membership::BackendRun m_run;
    MonotonicTime m_dispatchedAt;
    std::chrono::nanoseconds m_latency {};
    bool m_dispatched = false;
    bool m_finished = false;
};

}
