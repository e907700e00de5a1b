#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/gateway/Gateway.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/TransitDelay.h"
#include "internal/ConnectionPool.h"
#include "internal/LinkGate.h"
#include "internal/ServerExchange.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace carobpath::gateway::Detail {

class AdmittedCall;

/// Takes calls that nodes forward to the backend server beside this one: asks the admission controller which may run,
/// and carries its commands out.
class AdmissionHandler {
public:
    AdmissionHandler(boost::asio::io_context&, routing::AdmissionController&, ConnectionPool&, LinkGate&, const GatewayLimits&, const GatewayHooks&, const Dialect&);

    /// Connections to the backend server before it are used no more.
    void setBackend(std::optional<Backend>);

    void handle(const ServerExchange::Pointer&);

    /// Carries out what the admission controller decided outside of a call, such as on a change of the upstream.
    void perform(const routing::AdmissionCommands&);

    /// Starts the periodic ticks of the controller.
    void start();
    void stop();

private:
    friend class AdmittedCall;

    /// \returns how much longer than usual the request was under way; its deadline counts from when it was sent.
    MonotonicClock::duration waitOnTheWay(const Request&, MonotonicTime now);
    void scheduleTick();
    /// Tells the controller how busy the link is, where that is known.
    void reportLink(MonotonicTime now);
    void finish(const routing::AdmissionResult&);
    /// Handles what the backend server says about itself in the answer to a call.
    void onReport(const RequestId&, const membership::BackendRun&, const routing::BackendReport&, routing::ReportSource, MonotonicTime sentAt);
    void observeRefusal(const routing::AdmissionRequest&, const routing::Refusal&) const;
    /// Finds out whether the backend server still takes connections, then calls back.
    void probeBackend(std::function<void()> probed);

    routing::AdmissionController& m_controller;
    ConnectionPool& m_pool;
    LinkGate& m_link;
    const GatewayLimits& m_limits;
    const GatewayHooks& m_hooks;
    const Dialect& m_dialect;
    boost::asio::io_context& m_context;
    boost::asio::steady_timer m_tick;
    routing::TransitDelay m_transitDelay;
    std::optional<Backend> m_backend;
    std::unordered_map<RequestId, std::shared_ptr<AdmittedCall>> m_calls;
    bool m_stopped = false;
};

}
