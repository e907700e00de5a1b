#include "internal/StatusJson.h"

#include <nlohmann/json.hpp>

namespace carobpath::node::Detail {

namespace {

    using nlohmann::json;

    json configurationJson(const publication::ConfigurationPointer& configuration)
    {
        if (!configuration)
            return nullptr;
        return { { "offset", configuration->stamp.offset }, { "digest", toHex(configuration->stamp.digest) } };
    }

    json upstreamJson(const membership::Upstream& upstream)
    {
        return {
            { "service", upstream.service.value() },
            { "version", upstream.version.value() },
            { "state", membership::toString(upstream.state) },
            { "slots", upstream.slots },
            { "inFlight", upstream.inFlight },
            { "waiting", upstream.waiting },
        };
    }

    json nodeJson(const membership::KnownNode& node)
    {
        json it {
            { "name", node.entry.name.value() },
            { "region", node.entry.region.value() },
            { "failureDomain", node.entry.domain.value() },
            { "liveness", membership::toString(node.liveness) },
            { "leaving", node.entry.leaving },
            { "callers", toString(node.entry.addresses.callers) },
            { "admin", toString(node.entry.addresses.admin) },
        };
        if (node.entry.upstream)
            it["upstream"] = upstreamJson(*node.entry.upstream);
        return it;
    }

    json servicesJson(const NodeStatus& status)
    {
        json services = json::object();
        if (!status.configuration)
            return services;
        for (const auto& [name, entry] : status.configuration->set.services) {
            const auto share = status.share(name);
            json it { { "member", entry.service.member.value() }, { "currentVersion", entry.currentVersion.value() } };
            if (share.next) {
                it["nextVersion"] = share.next->value();
                it["nextShare"] = share.nextShare;
            }
            services[name.value()] = std::move(it);
        }
        return services;
    }

}

std::string statusJson(const NodeStatus& status)
{
    json nodes = json::array();
    if (status.view) {
        for (const auto& node : status.view->nodes)
            nodes.push_back(nodeJson(node));
    }
    const json object {
        { "node", status.settings->name.value() },
        { "region", status.settings->region.value() },
        { "failureDomain", status.settings->failureDomain.value() },
        { "incarnation", status.incarnation.value },
        { "ready", status.ready },
        { "draining", status.draining },
        { "logReader", status.reader },
        { "configuration", configurationJson(status.configuration) },
        { "services", servicesJson(status) },
        { "nodes", std::move(nodes) },
    };
    return object.dump();
}

}
