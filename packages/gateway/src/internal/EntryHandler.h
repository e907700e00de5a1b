#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/gateway/Dialect.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/routing/EntryRouter.h"
#include "internal/ConnectionPool.h"
#include "internal/ForwardedHeader.h"
#include "internal/LinkGate.h"
#include "internal/ServerExchange.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace carobpath::gateway::Detail {

/// Who answers callers here.
struct EntryIdentity {
    NodeName node;
    Incarnation incarnation;
    /// Service of the backend server beside the node; empty where there is none.
    ServiceName service;
};

/// Takes callers' calls: asks the router where each goes, and carries its commands out.
class EntryHandler {
public:
    /// \param sent where the bodies of calls are offered; may be empty.
    EntryHandler(boost::asio::io_context&, routing::EntryRouter&, ConnectionPool&, LinkGate&, const GatewayLimits&, const GatewayHooks&, const Dialect&, EntryIdentity, BodyStore::Pointer sent = nullptr);

    void handle(const ServerExchange::Pointer&);
    /// \returns whether the request may be handled beside others of its connection.
    bool isSafe(const Request&) const;
    /// A request that can't be read was refused.
    void onUnreadable(const routing::Refusal& refusal, MonotonicTime arrivedAt) { observeUnrouted(RequestId {}, refusal, arrivedAt); }

private:
    friend class EntryCall;

    /// \returns the caller's id, or a new one where it gave none; empty where the dialect wants one.
    std::optional<RequestId> idOf(const Request&);
    /// Moves the API key out of the request, where callers need one.
    /// \returns false where there is more than one.
    bool takeKey(ServerExchange&, routing::CallRequest&) const;
    void refuseMalformed(const ServerExchange::Pointer&, const RequestId&);
    /// Reports the end of a call for which no route was looked up.
    void observeUnrouted(const RequestId&, const routing::Refusal&, MonotonicTime arrivedAt) const;
    ForwardingStamp stampAt(MonotonicTime now) const;

    boost::asio::io_context& m_context;
    routing::EntryRouter& m_router;
    ConnectionPool& m_pool;
    LinkGate& m_link;
    const GatewayLimits& m_limits;
    const GatewayHooks& m_hooks;
    const Dialect& m_dialect;
    EntryIdentity m_identity;
    BodyStore::Pointer m_bodies;
    std::uint64_t m_sequence = 0;
};

}
