#include "internal/UpstreamDriver.h"

#include "carobpath/foundation/EventNames.h"

#include <utility>

namespace carobpath::node::Detail {

UpstreamDriver::UpstreamDriver(NodeContext& context, routing::AdmissionController& controller, gateway::Gateway& gateway,
    std::function<void(std::optional<membership::Upstream>)> spread)
    : m_context(context)
    , m_controller(controller)
    , m_gateway(gateway)
    , m_spread(std::move(spread))
{
}

Result<void> UpstreamDriver::onAnnouncement(std::string_view body)
{
    BOOST_LEAF_AUTO(announcement, parseAnnouncement(body));
    if (!m_monitor.onAnnouncement(announcement, MonotonicClock::now()))
        return {};
    m_context.events.record(Event(event::upstreamAnnounced)
                                .with("service", announcement.upstream.service)
                                .with("version", announcement.upstream.version)
                                .with("state", membership::toString(announcement.upstream.state))
                                .with("backend", announcement.backend));
    apply();
    return {};
}

void UpstreamDriver::onTick()
{
    if (m_monitor.onTick(MonotonicClock::now())) {
        m_context.events.record(Event(event::upstreamGone));
        apply();
    }
    m_spread(m_controller.upstream());
}

void UpstreamDriver::apply()
{
    std::optional<membership::Upstream> upstream;
    std::optional<Endpoint> backend;
    if (const auto& it = m_monitor.announcement()) {
        upstream = it->upstream;
        backend = it->backend;
    }
    m_gateway.setBackend(std::move(backend));
    m_gateway.perform(m_controller.setUpstream(std::move(upstream), MonotonicClock::now()));
    m_spread(m_controller.upstream());
}

ServiceName UpstreamDriver::service() const
{
    const auto& it = m_monitor.announcement();
    return it ? it->upstream.service : ServiceName {};
}

}
