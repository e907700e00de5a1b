#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/routing/EntryRouter.h"
#include "internal/ConnectionPool.h"
#include "internal/ServerSession.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace carobpath::gateway::Detail {

/// Takes callers' calls: asks the router where each goes, and carries its commands out.
class EntryHandler {
public:
    EntryHandler(boost::asio::io_context&, routing::EntryRouter&, ConnectionPool&, const GatewayLimits&, const GatewayHooks&, NodeName, Incarnation);

    void handle(const ServerSession::Pointer&);

private:
    friend class EntryCall;

    RequestId nextRequestId();
    std::string hybridNow() const { return m_hooks.hybridNow ? m_hooks.hybridNow() : std::string {}; }

    boost::asio::io_context& m_context;
    routing::EntryRouter& m_router;
    ConnectionPool& m_pool;
    const GatewayLimits& m_limits;
    const GatewayHooks& m_hooks;
    NodeName m_node;
    Incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
};

}
