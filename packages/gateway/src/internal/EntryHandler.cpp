#include "internal/EntryHandler.h"

#include "internal/EntryCall.h"
#include "internal/ForwardedHeader.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    constexpr std::size_t longestIdempotencyKey = 256;

    std::string hostWithoutPort(std::string_view host)
    {
        const bool isV6 = host.starts_with('[');
        const auto end = isV6 ? host.find(']') + 1 : host.find(':');
        std::string name { host.substr(0, end) };
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return name;
    }

    std::optional<IdempotencyKey> idempotencyKey(const Request& request)
    {
        const auto it = request.find(HeaderName::idempotencyKey);
        if (it == request.end() || it->value().empty())
            return std::nullopt;
        return IdempotencyKey { std::string { it->value() } };
    }

    /// \returns true where the request cannot be routed for a fault of its own.
    bool isMalformed(const Request& request, const routing::CallRequest& call)
    {
        const bool hasPath = !call.path.empty() && call.path.front() == '/';
        const bool keyIsBounded = !call.idempotencyKey || call.idempotencyKey->value().size() <= longestIdempotencyKey;
        const bool hasOneHost = request.count(http::field::host) == 1;
        return !hasPath || !keyIsBounded || !hasOneHost || call.host.empty();
    }

}

EntryHandler::EntryHandler(boost::asio::io_context& context, routing::EntryRouter& router, ConnectionPool& pool,
    const GatewayLimits& limits, const GatewayHooks& hooks, NodeName node, Incarnation incarnation)
    : m_context(context)
    , m_router(router)
    , m_pool(pool)
    , m_limits(limits)
    , m_hooks(hooks)
    , m_node(std::move(node))
    , m_incarnation(incarnation)
{
}

RequestId EntryHandler::nextRequestId()
{
    ++m_sequence;
    return RequestId { m_node.value() + "." + std::to_string(m_incarnation.value) + "." + std::to_string(m_sequence) };
}

void EntryHandler::handle(const ServerSession::Pointer& session)
{
    const Request& request = session->request();
    routing::CallRequest call;
    call.id = nextRequestId();
    call.host = hostWithoutPort(request[http::field::host]);
    call.method = std::string { request.method_string() };
    const std::string_view target = request.target();
    call.path = std::string { target.substr(0, target.find('?')) };
    call.idempotencyKey = idempotencyKey(request);
    call.callerTimeout = milliseconds(request, HeaderName::callerTimeout);
    call.fingerprint = fingerprintOf(request);
    if (isMalformed(request, call)) {
        session->refuse(routing::Refusal { routing::Outcome::NotRun, routing::RefusalReason::MalformedRequest, std::nullopt }, call.id.value());
        return;
    }
    std::make_shared<EntryCall>(*this, session, std::move(call))->start();
}

}
