#include "carobpath/gateway/Gateway.h"

#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/EntryRouter.h"
#include "internal/AdmissionHandler.h"
#include "internal/ConnectionPool.h"
#include "internal/EntryHandler.h"
#include "internal/Listener.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace carobpath::gateway {

namespace {

    constexpr std::chrono::seconds poolSweep { 1 };

}

class Gateway::Implementation {
public:
    Implementation(boost::asio::io_context& context, routing::EntryRouter& router, routing::AdmissionController& controller,
        NodeName node, Incarnation incarnation, const GatewayLimits& limits, GatewayHooks hooks)
        : m_limits(limits)
        , m_hooks(std::move(hooks))
        , m_pool(context, m_limits)
        , m_entry(context, router, m_pool, m_limits, m_hooks, std::move(node), incarnation)
        , m_admission(context, controller, m_pool, m_limits, m_hooks)
        , m_callers(std::make_shared<Detail::Listener>(context, m_limits, [this](const auto& session) { m_entry.handle(session); }))
        , m_calls(std::make_shared<Detail::Listener>(context, m_limits, [this](const auto& session) { m_admission.handle(session); }))
        , m_sweep(context)
    {
    }

    Result<void> listen(const Endpoint& callers, const Endpoint& calls)
    {
        if (const auto ec = m_callers->listen(callers))
            return boost::leaf::new_error(ListenFailure { callers, ec.value() });
        if (const auto ec = m_calls->listen(calls))
            return boost::leaf::new_error(ListenFailure { calls, ec.value() });
        m_admission.start();
        scheduleSweep();
        return {};
    }

    void scheduleSweep()
    {
        m_sweep.expires_after(poolSweep);
        m_sweep.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            m_pool.expire(MonotonicClock::now());
            scheduleSweep();
        });
    }

    GatewayLimits m_limits;
    GatewayHooks m_hooks;
    Detail::ConnectionPool m_pool;
    Detail::EntryHandler m_entry;
    Detail::AdmissionHandler m_admission;
    std::shared_ptr<Detail::Listener> m_callers;
    std::shared_ptr<Detail::Listener> m_calls;
    boost::asio::steady_timer m_sweep;
};

Gateway::Gateway(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;

Endpoint Gateway::callersEndpoint() const { return m_implementation->m_callers->endpoint(); }

Endpoint Gateway::callsEndpoint() const { return m_implementation->m_calls->endpoint(); }

void Gateway::setBackend(std::optional<Endpoint> endpoint) { m_implementation->m_admission.setBackend(std::move(endpoint)); }

void Gateway::perform(const routing::AdmissionCommands& commands) { m_implementation->m_admission.perform(commands); }

void Gateway::stopAccepting()
{
    m_implementation->m_callers->stop();
    m_implementation->m_calls->stop();
}

std::size_t Gateway::inFlight() const
{
    return m_implementation->m_entry.inFlight() + m_implementation->m_admission.inFlight();
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
    auto implementation = std::make_unique<Implementation>(m_context, m_router, m_controller, m_node, m_incarnation, m_limits, m_hooks);
    BOOST_LEAF_CHECK(implementation->listen(m_callers, m_calls));
    return Gateway { std::move(implementation) };
}

}
