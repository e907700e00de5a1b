#pragma once

#include "carobpath/gateway/Gateway.h"
#include "carobpath/node/UpstreamMonitor.h"
#include "carobpath/routing/AdmissionController.h"
#include "internal/NodeContext.h"

#include <functional>
#include <optional>
#include <string_view>

namespace carobpath::node::Detail {

/// Brings what the backend server announces to the admission controller, the gateway and the other nodes.
class UpstreamDriver {
public:
    /// \param spread tells the other nodes of the upstream.
    UpstreamDriver(NodeContext&, routing::AdmissionController&, gateway::Gateway&, std::function<void(std::optional<membership::Upstream>)> spread);

    /// Takes the body of an announcement. Fails with \c AnnouncementFault.
    Result<void> onAnnouncement(std::string_view body);

    /// Forgets a lapsed announcement and spreads the state and the load that calls showed.
    void onTick();

    /// \returns the service of the backend server, or an empty name.
    ServiceName service() const;

private:
    void apply();

    NodeContext& m_context;
    routing::AdmissionController& m_controller;
    gateway::Gateway& m_gateway;
    std::function<void(std::optional<membership::Upstream>)> m_spread;
    UpstreamMonitor m_monitor;
};

}
