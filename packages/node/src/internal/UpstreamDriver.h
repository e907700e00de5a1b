#pragma once

#include "carobpath/gateway/Gateway.h"
#include "carobpath/node/UpstreamMonitor.h"
#include "carobpath/routing/AdmissionController.h"
#include "internal/NodeContext.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::node::Detail {

/// Brings what the backend server announces to the admission controller, the gateway and the other nodes.
class UpstreamDriver {
public:
    /// \param spread tells the other nodes of the upstream.
    UpstreamDriver(NodeContext&, ExpectedBackend, routing::AdmissionController&, gateway::Gateway&, std::function<void(std::optional<membership::Upstream>)> spread);

    /// Holds announcements until the departures before this node's start are known, see \c UpstreamMonitor.
    void awaitDepartures();
    void onDepartures(const std::vector<membership::BackendRun>&);

    AnnouncementVerdict onAnnouncement(const Announcement&);
    /// \returns the run that leaves, with the latest start that it may have had.
    membership::BackendRun onDeparture(const membership::BackendRun&);
    void onConfiguration(const publication::ConfigurationPointer&);

    /// Forgets a lapsed announcement and spreads the state and the load that calls showed.
    void onTick();

    /// \returns the service of the backend server, or an empty name.
    ServiceName service() const;

private:
    void apply();
    void recordAnnouncement(EventName, const Announcement&);
    /// The backend server is held from now on, or says something else.
    void onChanged();
    /// \param reason for the log: why the backend server is held no more.
    void forget(std::string_view reason);
    /// \returns the connections that the backend server accepts: what it said, else what its service allows.
    std::uint32_t connectionsOf(const membership::Upstream&) const;

    NodeContext& m_context;
    routing::AdmissionController& m_controller;
    gateway::Gateway& m_gateway;
    std::function<void(std::optional<membership::Upstream>)> m_spread;
    UpstreamMonitor m_monitor;
    /// The instance that was announced last.
    std::string m_instance;
    publication::ConfigurationPointer m_configuration;
};

}
