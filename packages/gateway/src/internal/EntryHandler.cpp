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
    constexpr std::size_t longestRequestId = 128;

    std::string hostWithoutPort(std::string_view host)
    {
        const bool isV6 = host.starts_with('[');
        const auto end = isV6 ? host.find(']') + 1 : host.find(':');
        std::string name { host.substr(0, end) };
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return name;
    }

    std::optional<IdempotencyKey> idempotencyKey(const Request& request, const std::string& field)
    {
        if (field.empty())
            return std::nullopt;
        const auto it = request.find(field);
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

EntryHandler::EntryHandler(boost::asio::io_context& context, routing::EntryRouter& router, ConnectionPool& pool, LinkGate& link,
    const GatewayLimits& limits, const GatewayHooks& hooks, const Dialect& dialect, EntryIdentity identity, BodyStore::Pointer bodies)
    : m_context(context)
    , m_router(router)
    , m_pool(pool)
    , m_link(link)
    , m_limits(limits)
    , m_hooks(hooks)
    , m_dialect(dialect)
    , m_identity(std::move(identity))
    , m_bodies(std::move(bodies))
{
}

std::optional<RequestId> EntryHandler::idOf(const Request& request)
{
    if (!m_dialect.callerRequestId.empty()) {
        const std::string_view given = request[m_dialect.callerRequestId];
        if (given.empty() || given.size() > longestRequestId)
            return std::nullopt;
        return RequestId { std::string { given } };
    }
    ++m_sequence;
    return RequestId { m_identity.node.value() + "." + std::to_string(m_identity.incarnation.value) + "." + std::to_string(m_sequence) };
}

ForwardingStamp EntryHandler::stampAt(MonotonicTime now) const
{
    const auto sentAt = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    return { { m_identity.node, m_identity.incarnation, sentAt }, m_hooks.hybridNow ? m_hooks.hybridNow() : std::string {} };
}

bool EntryHandler::isSafe(const Request& request) const
{
    const std::string_view target = request.target();
    return m_router.isRepeatable(hostWithoutPort(request[http::field::host]), request.method_string(), target.substr(0, target.find('?')));
}

void EntryHandler::handle(const ServerExchange::Pointer& exchange)
{
    const Request& request = exchange->request();
    routing::CallRequest call;
    const auto id = idOf(request);
    call.id = id.value_or(RequestId {});
    call.callerService = m_identity.service;
    call.host = hostWithoutPort(request[http::field::host]);
    call.method = std::string { request.method_string() };
    const std::string_view target = request.target();
    call.path = std::string { target.substr(0, target.find('?')) };
    call.idempotencyKey = idempotencyKey(request, m_dialect.idempotencyKey);
    call.callerTimeout = milliseconds(request, m_dialect.callerTimeout);
    call.isOnNewConnection = exchange->isFirstOnConnection();
    call.fingerprint = fingerprintOf(request);
    const bool hasOneKeyAtMost = takeKey(*exchange, call);
    if (!id || !hasOneKeyAtMost || isMalformed(request, call)) {
        refuseMalformed(exchange, call.id);
        return;
    }
    std::make_shared<EntryCall>(*this, exchange, std::move(call))->start();
}

bool EntryHandler::takeKey(ServerExchange& exchange, routing::CallRequest& call) const
{
    if (!m_router.needsKeys())
        return true;
    const Request& request = exchange.request();
    const bool hasOneAtMost = request.count(m_dialect.apiKey) <= 1;
    if (const auto it = request.find(m_dialect.apiKey); it != request.end())
        call.apiKey = digestOf(it->value());
    exchange.removeField(m_dialect.apiKey);
    return hasOneAtMost;
}

void EntryHandler::refuseMalformed(const ServerExchange::Pointer& exchange, const RequestId& id)
{
    const routing::Refusal refusal { routing::Outcome::NotRun, routing::RefusalReason::MalformedRequest, std::nullopt };
    observeUnrouted(id, refusal, exchange->arrivedAt());
    exchange->refuse(refusal, id.value());
}

void EntryHandler::observeUnrouted(const RequestId& id, const routing::Refusal& refusal, MonotonicTime arrivedAt) const
{
    if (!m_hooks.onCall)
        return;
    CallObservation observation;
    observation.id = id;
    observation.status = m_dialect.refusalStatus(refusal);
    observation.outcome = refusal.outcome;
    observation.reason = refusal.reason;
    observation.latency = MonotonicClock::now() - arrivedAt;
    m_hooks.onCall(observation);
}

}
