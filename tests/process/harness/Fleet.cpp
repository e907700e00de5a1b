#include "Fleet.h"

#include "Eventually.h"
#include "Objects.h"

#include <algorithm>
#include <map>

namespace carobpath::harness {

namespace {

    constexpr std::size_t maximumSeeds = 3;

    bool isReadyUpstream(const nlohmann::json& node, const std::string& version)
    {
        if (!node.contains("upstream") || node["liveness"] != "alive")
            return false;
        return node["upstream"]["version"] == version && node["upstream"]["state"] == "ready";
    }

}

Fleet::Fleet(const std::vector<std::string>& members)
    : m_logEndpoint(m_log.endpoint())
    , m_fleetKey(makeMember("fleet").privateKey)
{
    for (const auto& name : members)
        m_members.push_back(makeMember(name));
}

Instance& Fleet::add(const std::string& failureDomain, BackendOptions backend, const std::string& extraSettings)
{
    NodeOptions options;
    options.name = "node-" + std::to_string(m_instances.size() + 1);
    options.failureDomain = failureDomain;
    options.logEndpoint = m_logEndpoint;
    options.seeds = seeds();
    options.fleetKey = m_fleetKey;
    options.members = m_members;
    options.extra = extraSettings;
    Instance instance { std::make_unique<NodeProcess>(m_directory, std::move(options)), nullptr };
    instance.node->start();
    backend.name = backend.version + "-on-" + instance.node->name();
    backend.admin = instance.node->admin();
    instance.backend = std::make_unique<BackendStandin>(m_directory, backend);
    m_backendOptions.push_back(backend);
    m_instances.push_back(std::move(instance));
    return m_instances.back();
}

void Fleet::restartBackend(std::size_t i)
{
    m_instances.at(i).backend.reset();
    m_instances.at(i).backend = std::make_unique<BackendStandin>(m_directory, m_backendOptions.at(i));
}

std::vector<std::string> Fleet::seeds() const
{
    std::vector<std::string> endpoints;
    for (std::size_t i = 0; i < std::min(maximumSeeds, m_instances.size()); ++i)
        endpoints.push_back(m_instances[i].node->peer());
    return endpoints;
}

const TestMember& Fleet::member(const std::string& name) const
{
    return *std::find_if(m_members.begin(), m_members.end(), [&](const auto& it) { return it.name == name; });
}

Operator Fleet::operatorOf(const std::string& name)
{
    return { m_directory, member(name), m_members, m_log.endpoint(), adminEndpoints() };
}

Publisher Fleet::publisherOf(const std::string& name) { return { member(name), m_log.endpoint() }; }

void Fleet::publishBooking()
{
    waitUntilInForce(publisherOf("petra").publish(objects::booking()));
    std::map<std::string, std::size_t> count;
    for (const auto& options : m_backendOptions)
        ++count[options.version];
    for (const auto& [version, upstreams] : count)
        waitUntilUpstreams(version, upstreams);
}

void Fleet::waitUntilInForce(std::uint64_t offset)
{
    for (auto& instance : m_instances) {
        if (!instance.node->process().isRunning())
            continue;
        eventually(instance.node->name() + " has offset " + std::to_string(offset) + " in force", [&] {
            const auto status = instance.node->adminJson("/v1/status");
            return status.is_object() && status["configuration"].is_object() && status["configuration"]["offset"] >= offset;
        });
    }
}

void Fleet::waitUntilUpstreams(const std::string& version, std::size_t count)
{
    for (auto& instance : m_instances) {
        if (!instance.node->process().isRunning())
            continue;
        eventually(instance.node->name() + " knows " + std::to_string(count) + " upstreams of " + version, [&] {
            const auto status = instance.node->adminJson("/v1/status");
            if (!status.is_object())
                return false;
            const auto& nodes = status["nodes"];
            const auto known = std::count_if(nodes.begin(), nodes.end(), [&](const auto& it) { return isReadyUpstream(it, version); });
            return static_cast<std::size_t>(known) >= count;
        });
    }
}

std::size_t Fleet::runsOf(const std::string& pathPart) const
{
    std::size_t count = 0;
    for (const auto& instance : m_instances)
        count += instance.backend ? instance.backend->runsOf(pathPart) : 0;
    return count;
}

std::vector<EventLine> Fleet::runs() const
{
    std::vector<EventLine> all;
    for (const auto& instance : m_instances) {
        const auto runs = instance.backend->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

std::string Fleet::timeLines() const
{
    std::string all;
    for (const auto& instance : m_instances)
        all += instance.node->timeLine();
    return all;
}

std::vector<std::string> Fleet::adminEndpoints() const
{
    std::vector<std::string> endpoints;
    for (const auto& instance : m_instances)
        endpoints.push_back(instance.node->admin());
    return endpoints;
}

std::vector<std::string> Fleet::callerEndpoints() const
{
    std::vector<std::string> endpoints;
    for (const auto& instance : m_instances)
        endpoints.push_back(instance.node->callers());
    return endpoints;
}

}
