#pragma once

#include "carobpath/capacity/LinkPacer.h"
#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/gateway/Dialect.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/membership/Announcement.h"
#include "carobpath/routing/Admission.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace carobpath::routing {
class AdmissionController;
class EntryRouter;
}

namespace carobpath::gateway {

/// An address that could not be listened on.
struct ListenFailure {
    Endpoint endpoint;
    int systemError = 0;
};

/// The backend server beside a node.
struct Backend {
    /// Where it takes the node's requests.
    Endpoint endpoint;
    /// The run that takes them.
    membership::BackendRun run;

    friend bool operator==(const Backend&, const Backend&) = default;
};

/// Calls that had no whole answer when the node ended.
struct CutCalls {
    /// Of callers.
    std::size_t entered = 0;
    /// Of other nodes, at the backend server beside this one.
    std::size_t forwarded = 0;
};

/// The HTTP sessions of a node: callers' calls in, calls to other nodes out, forwarded calls in, calls to the backend
/// server out. Makes no decision: it asks the router and the admission controller. Runs on one thread.
class Gateway {
public:
    class Builder;

    ~Gateway();
    Gateway(Gateway&&) noexcept;

    /// Where callers are answered, and where other nodes forward calls to; with the real ports.
    Endpoint callersEndpoint() const;
    Endpoint callsEndpoint() const;

    /// The backend server beside this node; calls that are dispatched without one are refused.
    void setBackend(std::optional<Backend>);

    /// Carries out what the admission controller decided outside of a call.
    void perform(const routing::AdmissionCommands&);

    /// Answers from now on say that their connections close, and silence of other nodes ends no attempt any more.
    void announceClose();

    /// Accepts no new connections. Open ones go on, so that a request which is on its way is answered.
    void stopAccepting();

    /// Closes the connections that are idle and were not used a moment ago. To be repeated.
    void closeIdle();

    /// Connections of callers and of other nodes that are not closed.
    std::size_t openConnections() const;

    /// Bytes that requests of callers and of other nodes hold.
    std::uint64_t heldBytes() const;

    /// Answers the calls of callers and of other nodes that have no header of an answer yet: this node is about to end.
    void endUnanswered();

    /// Calls of callers and forwarded calls that have no whole answer yet.
    std::size_t inFlight() const;

    /// Load of the instance's link by answers; all zero where the link is not known.
    capacity::LinkLoad linkLoad();

    /// Ends the timers, so that the context can run out of work.
    void stop();

    /// Closes every connection, and reports each caller's call that has no whole answer yet as cut.
    CutCalls cutCalls();

private:
    class Implementation;
    explicit Gateway(std::unique_ptr<Implementation>);

    std::unique_ptr<Implementation> m_implementation;
};

/// Collects what a gateway needs. The router, the controller and the context must outlive it.
class Gateway::Builder {
public:
    Builder(boost::asio::io_context&, routing::EntryRouter&, routing::AdmissionController&);

    Builder& node(NodeName, Incarnation);
    Builder& callers(Endpoint);
    Builder& calls(Endpoint);
    /// Service of the backend server beside this node, which upstreams are told of calls that enter here.
    Builder& service(ServiceName);
    Builder& dialect(Dialect);
    Builder& limits(const GatewayLimits&);
    Builder& hooks(GatewayHooks);

    /// Listens on both addresses. Fails with \c ListenFailure.
    Result<Gateway> build();

private:
    boost::asio::io_context& m_context;
    routing::EntryRouter& m_router;
    routing::AdmissionController& m_controller;
    NodeName m_node;
    Incarnation m_incarnation;
    Endpoint m_callers;
    Endpoint m_calls;
    ServiceName m_service;
    Dialect m_dialect;
    GatewayLimits m_limits;
    GatewayHooks m_hooks;
};

}
