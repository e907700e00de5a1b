#include "Announcer.h"
#include "BackendService.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>

namespace {

using namespace carobpath;
using namespace carobpath::standins;

constexpr std::chrono::milliseconds drainPollInterval { 20 };

/// The backend stand-in with its control address.
class BackendProcess {
public:
    explicit BackendProcess(const cxxopts::ParseResult& options)
        : m_process("backend/" + options["name"].as<std::string>())
        , m_model(shapeOf(options), MonotonicClock::now(), options["seed"].as<std::uint64_t>())
        , m_service(m_process, m_model, endpointFromText(options["listen"].as<std::string>()))
        , m_control(m_process.context(), endpointFromText("127.0.0.1:0"), [this](const auto& session) { control(*session); })
        , m_drainTimer(m_process.context())
        , m_drain(options["drain-ms"].as<std::uint64_t>())
    {
        if (options.count("admin") > 0)
            m_announcer.emplace(m_process, m_model, endpointFromText(options["admin"].as<std::string>()), m_service.endpoint());
    }

    void run()
    {
        m_process.events().record(Event(carobpath::event::started).with("listen", endpointText(m_service.endpoint())).with("control", endpointText(m_control.endpoint())));
        if (m_announcer)
            m_announcer->start();
        m_process.run([this] { drain(); });
        m_process.events().record(Event(carobpath::event::stopped));
    }

private:
    static BackendShape shapeOf(const cxxopts::ParseResult& options)
    {
        BackendShape shape;
        shape.service = options["service"].as<std::string>();
        shape.version = options["version"].as<std::string>();
        shape.instance = options["name"].as<std::string>();
        shape.slots = options["slots"].as<std::uint64_t>();
        shape.connections = options["connections"].as<std::uint64_t>();
        shape.waiting = options["waiting"].as<std::uint64_t>();
        shape.coldStart = std::chrono::milliseconds(options["cold-start-ms"].as<std::uint64_t>());
        shape.work = std::chrono::milliseconds(options["work-ms"].as<std::uint64_t>());
        return shape;
    }

    void control(HttpSession& session)
    {
        if (pathOf(session.request().target()) == "/counts") {
            const nlohmann::ordered_json counts { { "executed", m_service.executed() }, { "refused", m_service.refused() }, { "inFlight", m_model.inFlight() }, { "waiting", m_model.waiting() } };
            session.respond(jsonResponse(http::status::ok, counts.dump()));
            return;
        }
        try {
            applySwitches(m_model.switches(), session.request().body());
        } catch (const std::invalid_argument& e) {
            session.respond(jsonResponse(http::status::bad_request, nlohmann::json { { "error", e.what() } }.dump()));
            return;
        }
        m_process.events().record(Event(standins::event::switched).with("switches", session.request().body()));
        session.respond(jsonResponse(http::status::no_content, ""));
    }

    void drain()
    {
        m_model.drain();
        m_process.events().record(Event(carobpath::event::draining));
        if (m_announcer)
            m_announcer->announce();
        m_drainUntil = MonotonicClock::now() + m_drain;
        pollDrain();
    }

    // Stays reachable for the whole drain time, so that late arrivals get the typed refusal.
    void pollDrain()
    {
        if (m_service.isIdle() && MonotonicClock::now() >= m_drainUntil) {
            m_process.stop();
            return;
        }
        m_drainTimer.expires_after(drainPollInterval);
        m_drainTimer.async_wait([this](boost::system::error_code) { pollDrain(); });
    }

    StandinProcess m_process;
    BackendModel m_model;
    BackendService m_service;
    HttpServer m_control;
    boost::asio::steady_timer m_drainTimer;
    std::chrono::milliseconds m_drain;
    MonotonicTime m_drainUntil {};
    std::optional<Announcer> m_announcer;
};

cxxopts::Options optionsOfBackend()
{
    cxxopts::Options options("backend-standin", "A backend server for tests");
    auto add = options.add_options();
    add("name", "name on the time line", cxxopts::value<std::string>()->default_value("backend"));
    add("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("admin", "admin address of the node beside it", cxxopts::value<std::string>());
    add("service", "service to announce", cxxopts::value<std::string>()->default_value("booking"));
    add("version", "version to announce", cxxopts::value<std::string>()->default_value("booking-1"));
    add("slots", "calls at one time", cxxopts::value<std::uint64_t>()->default_value("6"));
    add("connections", "connections to announce", cxxopts::value<std::uint64_t>()->default_value("130"));
    add("waiting", "calls that wait for a slot", cxxopts::value<std::uint64_t>()->default_value("6"));
    add("cold-start-ms", "how long it is cold", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("work-ms", "work of a call", cxxopts::value<std::uint64_t>()->default_value("5"));
    add("drain-ms", "how long it refuses calls before it exits", cxxopts::value<std::uint64_t>()->default_value("300"));
    add("seed", "of the share of failed calls", cxxopts::value<std::uint64_t>()->default_value("1"));
    return options;
}

}

/// Stand-in of a backend server.
int main(int argc, char** argv)
{
    try {
        BackendProcess(optionsOfBackend().parse(argc, argv)).run();
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
