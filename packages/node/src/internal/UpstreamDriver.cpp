#include "internal/UpstreamDriver.h"

#include "carobpath/foundation/EventNames.h"

#include <utility>

namespace carobpath::node::Detail {

UpstreamDriver::UpstreamDriver(NodeContext& context, ExpectedBackend expected, routing::AdmissionController& controller,
    gateway::Gateway& gateway, std::function<void(std::optional<membership::Upstream>)> spread)
    : m_context(context)
    , m_controller(controller)
    , m_gateway(gateway)
    , m_spread(std::move(spread))
    , m_monitor(std::move(expected))
{
}

void UpstreamDriver::awaitDepartures() { m_monitor.awaitDepartures(MonotonicClock::now(), wallNow()); }

void UpstreamDriver::onDepartures(const std::vector<membership::BackendRun>& runs)
{
    if (!m_monitor.onDepartures(runs, MonotonicClock::now()))
        return;
    if (m_monitor.announcement())
        onChanged();
    else
        forget("departed");
}

AnnouncementVerdict UpstreamDriver::onAnnouncement(const Announcement& announcement)
{
    const auto verdict = m_monitor.onAnnouncement(announcement, MonotonicClock::now());
    if (verdict == AnnouncementVerdict::Changed)
        onChanged();
    else if (verdict == AnnouncementVerdict::Late || verdict == AnnouncementVerdict::Foreign)
        recordAnnouncement(event::announcementRefused, announcement);
    return verdict;
}

void UpstreamDriver::onChanged()
{
    const auto& announcement = *m_monitor.announcement();
    recordAnnouncement(event::upstreamAnnounced, announcement);
    m_instance = announcement.run.instance;
    apply();
}

void UpstreamDriver::recordAnnouncement(EventName name, const Announcement& announcement)
{
    m_context.events.record(Event(name)
                                .with("service", announcement.upstream.service)
                                .with("version", announcement.upstream.version)
                                .with("state", membership::toString(announcement.upstream.state))
                                .with("instance", announcement.run.instance)
                                .with("backend", announcement.backend));
}

membership::BackendRun UpstreamDriver::onDeparture(const membership::BackendRun& run)
{
    membership::BackendRun departed { run.instance, run.startedAt };
    const auto& known = m_monitor.announcement();
    if (!departed.startedAt && known && known->run.instance == run.instance)
        departed.startedAt = known->run.startedAt;
    const auto now = wallNow();
    if (!departed.startedAt)
        departed.startedAt = now;
    if (m_monitor.onDeparture(run, now))
        forget("departed");
    return departed;
}

void UpstreamDriver::onConfiguration(const publication::ConfigurationPointer& configuration)
{
    m_configuration = configuration;
    const auto& held = m_monitor.announcement();
    if (held && held->upstream.connections == 0)
        apply();
}

void UpstreamDriver::onTick()
{
    if (m_monitor.takeHeld(MonotonicClock::now()))
        onChanged();
    if (m_monitor.onTick(MonotonicClock::now()))
        forget("silent");
    m_spread(m_controller.upstream());
}

void UpstreamDriver::forget(std::string_view reason)
{
    m_context.events.record(Event(event::upstreamGone).with("instance", m_instance).with("reason", reason));
    apply();
}

std::uint32_t UpstreamDriver::connectionsOf(const membership::Upstream& upstream) const
{
    if (upstream.connections > 0)
        return upstream.connections;
    if (!m_configuration)
        return upstream.slots;
    const auto& services = m_configuration->set.services;
    const auto it = services.find(upstream.service);
    return it == services.end() || it->second.service.connections == 0 ? upstream.slots : it->second.service.connections;
}

void UpstreamDriver::apply()
{
    std::optional<membership::Upstream> upstream;
    std::optional<gateway::Backend> backend;
    membership::BackendRun run;
    if (const auto& it = m_monitor.announcement()) {
        upstream = it->upstream;
        upstream->connections = connectionsOf(*upstream);
        run = it->run;
        backend = gateway::Backend { it->backend, run };
    }
    m_gateway.setBackend(std::move(backend));
    m_gateway.perform(m_controller.setUpstream(std::move(upstream), MonotonicClock::now(), run));
    m_spread(m_controller.upstream());
}

ServiceName UpstreamDriver::service() const
{
    const auto& it = m_monitor.announcement();
    return it ? it->upstream.service : ServiceName {};
}

}
