#include "NodeProcess.h"

#include "Programs.h"

#include "carobpath/publication/Keys.h"

namespace carobpath::harness {

TestMember makeMember(const std::string& name)
{
    const auto pair = publication::KeyPair::generate();
    return { name, pair.privateHex(), publication::toHex(pair.publicKey()) };
}

NodeProcess::NodeProcess(const TemporaryDirectory& directory, NodeOptions options)
    : m_directory(directory)
    , m_options(std::move(options))
{
}

void NodeProcess::start()
{
    if (m_process) {
        m_process->kill();
        m_earlierLines = timeLine();
        m_process.reset();
    }
    const auto settings = m_directory.write(m_options.name + ".yaml", settingsText());
    const auto errors = m_directory.path() / (m_options.name + "-" + std::to_string(++m_lives) + ".err");
    m_process = std::make_unique<Process>(programs::carobpathd, std::vector<std::string> { "--settings", settings }, errors.string());
    const auto started = m_process->waitForEvent("started");
    m_callers = started.at("callers");
    m_calls = started.at("calls");
    m_peer = started.at("peer");
    m_admin = started.at("admin");
}

std::string NodeProcess::settingsText() const
{
    std::string text = "node: {name: " + m_options.name + ", region: " + m_options.region + ", failure-domain: " + m_options.failureDomain + "}\n"
        + "listen: {callers: \"" + m_callers + "\", calls: \"" + m_calls + "\", peer: \"" + m_peer + "\", admin: \"" + m_admin + "\"}\n"
        + "log: {endpoints: [\"" + m_options.logEndpoint + "\"]}\n"
        + "fleet-key: \"" + m_options.fleetKey + "\"\n";
    text += "members:\n";
    for (const auto& member : m_options.members)
        text += "  - {name: " + member.name + ", public-key: \"" + member.publicKey + "\"}\n";
    text += "seeds: [";
    for (const auto& seed : m_options.seeds)
        text += (seed == m_options.seeds.front() ? "\"" : ", \"") + seed + "\"";
    return text + "]\n" + m_options.extra;
}

CallerAnswer NodeProcess::admin(const std::string& target) const
{
    CallerRequest request;
    request.target = target;
    request.timeout = std::chrono::seconds(5);
    return call(m_admin, request);
}

nlohmann::json NodeProcess::adminJson(const std::string& target) const
{
    const auto answer = admin(target);
    return answer.status == 200 ? nlohmann::json::parse(answer.body, nullptr, false) : nlohmann::json();
}

std::string NodeProcess::timeLine() const { return m_earlierLines + (m_process ? m_process->output() : ""); }

}
