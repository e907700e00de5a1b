#pragma once

#include "carobpath/gateway/Gateway.h"
#include "carobpath/node/UpstreamMonitor.h"
#include "carobpath/routing/AdmissionController.h"
#include "internal/NodeContext.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath::node::Detail {

/// Brings what the backend server announces to the admission controller, the gateway and the other nodes.
class UpstreamDriver {
public:
    /// \param spread tells the other nodes of the upstream.
    UpstreamDriver(NodeContext&, ExpectedBackend, routing::AdmissionController&, gateway::Gateway&, std::function<void(std::optional<membership::Upstream>)> spread);

    AnnouncementVerdict onAnnouncement(const Announcement&);
    /// \returns whether it was the backend server that is held.
    bool onDeparture(const membership::BackendRun&);
    void onConfiguration(const publication::ConfigurationPointer&);

    /// Forgets a lapsed announcement and spreads the state and the load that calls showed.
    void onTick();

    /// \returns the service of the backend server, or an empty name.
    ServiceName service() const;

private:
    void apply();
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
