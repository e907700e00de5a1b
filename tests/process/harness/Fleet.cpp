#include "Fleet.h"

#include "Eventually.h"

#include <algorithm>

namespace carobpath::harness {

namespace {

    constexpr std::size_t maximumSeeds = 3;

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

Operator Fleet::operatorOf(const std::string& member)
{
    const auto it = std::find_if(m_members.begin(), m_members.end(), [&](const auto& candidate) { return candidate.name == member; });
    return { m_directory, *it, m_members, m_log.endpoint(), adminEndpoints() };
}

void Fleet::waitUntilInForce(std::uint64_t offset)
{
    for (auto& instance : m_instances) {
        if (!instance.node->process().isRunning())
            continue;
        eventually(instance.node->name() + " has offset " + std::to_string(offset) + " in force", [&] {
            const auto status = instance.node->adminJson("/v1/status");
            return status.is_object() && status["configuration"].value("offset", std::int64_t { -1 }) >= static_cast<std::int64_t>(offset);
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
            const auto known = std::count_if(nodes.begin(), nodes.end(), [&](const auto& it) { return it.value("version", "") == version; });
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
