#include "carobpath/gateway/Gateway.h"

#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/EntryRouter.h"
#include "internal/AdmissionHandler.h"
#include "internal/ConnectionPool.h"
#include "internal/EntryHandler.h"
#include "internal/LinkGate.h"
#include "internal/Listener.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace carobpath::gateway {

namespace {

    constexpr std::chrono::seconds poolSweep { 1 };

    Detail::ServerSession::Handlers handlersOf(Detail::EntryHandler& entry, const GatewayHooks& hooks)
    {
        return { [&entry](const auto& exchange) { entry.handle(exchange); },
            [&entry](const Detail::Request& request) { return entry.isSafe(request); },
            [&entry](const routing::Refusal& refusal, MonotonicTime arrivedAt) { entry.onUnreadable(refusal, arrivedAt); },
            hooks.onRequestsDropped };
    }

    Detail::ServerSession::Handlers handlersOf(Detail::AdmissionHandler& admission)
    {
        return { [&admission](const auto& exchange) { admission.handle(exchange); }, nullptr, nullptr, nullptr };
    }

}

class Gateway::Implementation {
public:
    Implementation(boost::asio::io_context& context, routing::EntryRouter& router, routing::AdmissionController& controller,
        Detail::EntryIdentity identity, Dialect chosenDialect, const GatewayLimits& chosenLimits, GatewayHooks chosenHooks)
        : dialect(std::move(chosenDialect))
        , limits(chosenLimits)
        , hooks(std::move(chosenHooks))
        , memory(std::make_shared<Detail::RequestMemory>(limits.heldBytes, hooks.onRequestShed))
        , pool(context, limits)
        , link(context, limits.linkBytesPerSecond)
        , entry(context, router, pool, link, limits, hooks, dialect, std::move(identity), memory->store())
        , admission(context, controller, pool, link, limits, hooks, dialect)
        , callers(std::make_shared<Detail::Listener>(context, limits, dialect, handlersOf(entry, hooks), memory))
        , calls(std::make_shared<Detail::Listener>(context, limits, ownDialect, handlersOf(admission), memory))
        , sweep(context)
    {
    }

    Result<void> listen(const Endpoint& callersAt, const Endpoint& callsAt)
    {
        if (const auto ec = callers->listen(callersAt))
            return boost::leaf::new_error(ListenFailure { callersAt, ec.value() });
        if (const auto ec = calls->listen(callsAt))
            return boost::leaf::new_error(ListenFailure { callsAt, ec.value() });
        admission.start();
        scheduleSweep();
        return {};
    }

    void scheduleSweep()
    {
        sweep.expires_after(poolSweep);
        sweep.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            pool.expire(MonotonicClock::now());
            scheduleSweep();
        });
    }

    Dialect dialect;
    /// Of calls between nodes.
    Dialect ownDialect;
    GatewayLimits limits;
    GatewayHooks hooks;
    Detail::RequestMemory::Pointer memory;
    Detail::ConnectionPool pool;
    Detail::LinkGate link;
    Detail::EntryHandler entry;
    Detail::AdmissionHandler admission;
    std::shared_ptr<Detail::Listener> callers;
    std::shared_ptr<Detail::Listener> calls;
    boost::asio::steady_timer sweep;
};

Gateway::Gateway(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;

Endpoint Gateway::callersEndpoint() const { return m_implementation->callers->endpoint(); }

Endpoint Gateway::callsEndpoint() const { return m_implementation->calls->endpoint(); }

void Gateway::setBackend(std::optional<Backend> backend) { m_implementation->admission.setBackend(std::move(backend)); }

void Gateway::perform(const routing::AdmissionCommands& commands) { m_implementation->admission.perform(commands); }

void Gateway::announceClose()
{
    m_implementation->limits.endsSilentCalls = false;
    m_implementation->callers->announceClose();
    m_implementation->calls->announceClose();
}

void Gateway::stopAccepting()
{
    m_implementation->callers->stopAccepting();
    m_implementation->calls->stopAccepting();
}

void Gateway::closeIdle()
{
    m_implementation->callers->closeIdle();
    m_implementation->calls->closeIdle();
}

std::size_t Gateway::openConnections() const
{
    return m_implementation->callers->openConnections() + m_implementation->calls->openConnections();
}

std::uint64_t Gateway::heldBytes() const { return m_implementation->memory->store()->heldBytes(); }

capacity::LinkLoad Gateway::linkLoad()
{
    m_implementation->link.readAcknowledgements();
    return m_implementation->link.load();
}

void Gateway::endUnanswered()
{
    m_implementation->callers->endUnanswered();
    m_implementation->calls->endUnanswered();
}

std::size_t Gateway::inFlight() const
{
    return m_implementation->callers->busyConnections() + m_implementation->calls->busyConnections();
}

void Gateway::stop()
{
    m_implementation->admission.stop();
    m_implementation->link.stop();
    m_implementation->sweep.cancel();
}

CutCalls Gateway::cutCalls()
{
    CutCalls cut;
    cut.entered = m_implementation->callers->cut();
    cut.forwarded = m_implementation->calls->cut();
    return cut;
}

Gateway::Builder::Builder(boost::asio::io_context& context, routing::EntryRouter& router, routing::AdmissionController& controller)
    : m_context(context)
    , m_router(router)
    , m_controller(controller)
{
}

Gateway::Builder& Gateway::Builder::node(NodeName name, Incarnation incarnation)
{
    m_node = std::move(name);
    m_incarnation = incarnation;
    return *this;
}

Gateway::Builder& Gateway::Builder::callers(Endpoint endpoint)
{
    m_callers = std::move(endpoint);
    return *this;
}

Gateway::Builder& Gateway::Builder::calls(Endpoint endpoint)
{
    m_calls = std::move(endpoint);
    return *this;
}

Gateway::Builder& Gateway::Builder::service(ServiceName service)
{
    m_service = std::move(service);
    return *this;
}

Gateway::Builder& Gateway::Builder::dialect(Dialect dialect)
{
    m_dialect = std::move(dialect);
    return *this;
}

Gateway::Builder& Gateway::Builder::limits(const GatewayLimits& limits)
{
    m_limits = limits;
    return *this;
}

Gateway::Builder& Gateway::Builder::hooks(GatewayHooks hooks)
{
    m_hooks = std::move(hooks);
    return *this;
}

Result<Gateway> Gateway::Builder::build()
{
    auto implementation = std::make_unique<Implementation>(m_context, m_router, m_controller, Detail::EntryIdentity { m_node, m_incarnation, m_service }, m_dialect, m_limits, m_hooks);
    BOOST_LEAF_CHECK(implementation->listen(m_callers, m_calls));
    return Gateway { std::move(implementation) };
}

}
