#pragma once

#include "carobpath/foundation/Result.h"
#include "carobpath/gateway/AdminServer.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath::node::Detail {

/// What the admin address asks of the node. Texts are JSON unless said otherwise.
struct AdminSources {
    std::function<bool()> ready;
    std::function<std::string()> status;
    /// Nothing while no configuration is in force.
    std::function<std::optional<std::string>()> objects;
    /// Nothing for an unknown move.
    std::function<std::optional<std::string>(const std::string& name)> move;
    /// The quotas that this node owns.
    std::function<std::string()> quotas;
    /// Prometheus text.
    std::function<std::string()> metrics;
    /// Fails with \c AnnouncementFault.
    std::function<Result<void>(std::string_view body)> announce;
};

/// The routes of the admin address, see docs/INTERFACES.md.
class AdminApi {
public:
    explicit AdminApi(AdminSources);

    gateway::AdminResponse answer(const gateway::AdminRequest&) const;

private:
    gateway::AdminResponse get(const std::string& target) const;
    gateway::AdminResponse announce(const std::string& body) const;

    AdminSources m_sources;
};

}
