#include "FleetSite.h"

#include "Programs.h"
#include "carobpath/platform/RecordFrames.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace carobpath::harness {

namespace {

    /// Ports below those that the system gives to connections and to listeners without a port of their own.
    constexpr std::uint16_t firstPort = 10'000;
    constexpr std::uint16_t lastPort = 32'000;

    bool isFree(std::uint16_t port)
    {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
        boost::system::error_code ec;
        socket.bind({ boost::asio::ip::make_address("127.0.0.1"), port }, ec);
        return !ec;
    }

    /// \returns a port that was free a moment ago. Each test process counts through ports of its own, so that neither another
    /// test nor the system gives it away before it is listened on.
    std::uint16_t freePort()
    {
        constexpr std::uint32_t portsOfProcess = 100;
        constexpr std::uint32_t ports = lastPort - firstPort;
        static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * portsOfProcess % ports;
        while (true) {
            const auto port = static_cast<std::uint16_t>(firstPort + next);
            next = (next + 1) % ports;
            if (isFree(port))
                return port;
        }
    }

    std::string freeAddress() { return "127.0.0.1:" + std::to_string(freePort()); }

    std::string textOf(const nlohmann::json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

    std::string readFile(const std::string& path)
    {
        const std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    nlohmann::json::json_pointer pointerOf(std::string path)
    {
        std::replace(path.begin(), path.end(), '.', '/');
        return nlohmann::json::json_pointer { "/" + path };
    }

    /// Leaves out the sections "{{#a}} .. {{/a}}" whose value is not there, and the marks of the others.
    std::string fillSections(std::string text, const nlohmann::json& settings)
    {
        for (auto open = text.find("{{#"); open != std::string::npos; open = text.find("{{#")) {
            const auto close = text.find("}}", open);
            const auto name = text.substr(open + 3, close - open - 3);
            const auto endMark = "{{/" + name + "}}";
            const auto end = text.find(endMark, close);
            if (close == std::string::npos || end == std::string::npos)
                throw std::runtime_error("a section of the template has no end");
            const auto body = settings.contains(pointerOf(name)) ? text.substr(close + 2, end - close - 2) : std::string {};
            text.replace(open, end + endMark.size() - open, body);
        }
        return text;
    }

    nlohmann::json sampleSettings(const std::string& name, const std::string& zone, const std::string& service, const std::string& store, const std::string& backend,
        double linkMegabits)
    {
        const auto port = freePort();
        return {
            { "node-name", name },
            { "ip-address", "127.0.0.1" },
            { "zone", zone },
            { "region", "amman" },
            { "service", service },
            { "application-address", backend },
            { "internal-port-range", { port, freePort() } },
            { "listen-addresses", { { "inbound", freeAddress() }, { "outbound", freeAddress() }, { "ready", freeAddress() }, { "control", freeAddress() } } },
            { "limits", { { "cpu-share", 0.2 }, { "memory-mb", 260 }, { "link-mbps", linkMegabits } } },
            { "bounds", { { "grace-period-s", 2.5 }, { "retry-budget-ratio", 0.2 }, { "budget-slack", 64 }, { "budget-window-s", 10 }, { "exposure-share", 0.1 }, { "exposure-slack", 50 }, { "quota-window-s", 5 }, { "quota-overage", 0.1 }, { "quota-slack", 20 } } },
            { "platform", { { "address", store }, { "read-mb-per-s", 80.0 } } },
        };
    }

}

std::string fillTemplate(const std::string& source, const nlohmann::json& settings)
{
    const auto text = fillSections(source, settings);
    std::string filled;
    std::size_t at = 0;
    for (auto open = text.find("{{"); open != std::string::npos; open = text.find("{{", at)) {
        const auto close = text.find("}}", open);
        if (close == std::string::npos)
            throw std::runtime_error("a place of the template has no end");
        filled += text.substr(at, open - at) + textOf(settings.at(pointerOf(text.substr(open + 2, close - open - 2))));
        at = close + 2;
    }
    return filled + text.substr(at);
}

FleetNode::FleetNode(const TemporaryDirectory& directory, const std::string& name, const std::string& zone, const std::string& service, const std::string& store, const std::string& backend,
    double linkMegabits)
    : m_service(service)
    , m_zone(zone)
    , m_backend(backend)
{
    const auto sample = sampleSettings(name, zone, service, store, backend, linkMegabits);
    m_calls = textOf(sample["ip-address"]) + ":" + textOf(sample["internal-port-range"][0]);
    m_outbound = sample["listen-addresses"]["outbound"];
    m_ready = sample["listen-addresses"]["ready"];
    m_control = sample["listen-addresses"]["control"];
    const auto text = fillTemplate(readFile(std::string(programs::sourceDirectory) + "/deploy/node.yaml"), sample);
    const auto settings = directory.write(name + ".yaml", text);
    m_arguments = { "--settings", settings };
    m_errorFile = (directory.path() / (name + ".err")).string();
    restart();
}

void FleetNode::restart()
{
    m_process.reset();
    m_process = std::make_unique<Process>(programs::carobpathd, m_arguments, m_errorFile);
    m_process->waitForEvent("started");
}

unsigned FleetNode::readiness() const
{
    CallerRequest request;
    request.target = "/v1/readiness";
    return call(m_ready, request).status;
}

unsigned FleetNode::announce(const std::string& instance, const std::string& state, std::uint64_t sequence, std::uint64_t born) const
{
    const nlohmann::json body {
        { "address", m_backend },
        { "born", born },
        { "server-info", { { "service", m_service }, { "version", "v1" }, { "zone", m_zone }, { "slots", 6 } } },
        { "status", { { "state", state }, { "seq", sequence }, { "cold-remaining-s", 0 } } },
    };
    CallerRequest request;
    request.method = "PUT";
    request.target = "/v1/instances/" + instance;
    request.body = body.dump();
    return call(m_control, request).status;
}

unsigned FleetNode::depart(const std::string& instance) const
{
    CallerRequest request;
    request.method = "DELETE";
    request.target = "/v1/instances/" + instance;
    return call(m_control, request).status;
}

void putOrder(const std::string& store, const std::string& key, const std::string& value) { putRecord(store, "keyed.op", key, value); }

void putRecord(const std::string& store, const std::string& topic, const std::string& key, const std::string& value)
{
    CallerRequest request;
    request.method = "POST";
    request.target = "/v1/log-append?topic=" + topic + "&part=0";
    request.body = platform::frameOf(platform::keyedContent(key, value));
    if (call(store, request).status != 200)
        throw std::runtime_error("the store refuses the record");
}

nlohmann::json newestRecords(const std::string& store, const std::string& topic)
{
    CallerRequest request;
    request.target = "/v1/log-newest?topic=" + topic + "&part=0";
    return nlohmann::json::parse(call(store, request).body)["items"];
}

}
