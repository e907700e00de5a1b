#pragma once

#include "Caller.h"
#include "Process.h"
#include "TemporaryDirectory.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace carobpath::harness {

/// Fills a template of the deploy file from the platform's settings: "{{a.b}}" gives a value, "{{a.0}}" an item of a list, and
/// "{{#a.b}} .. {{/a.b}}" holds text that is left out where there is no value. Throws where a place has no value.
std::string fillTemplate(const std::string& text, const nlohmann::json& settings);

/// One daemon on the shared fleet's platform, started with the settings that the deploy file's template makes.
class FleetNode {
public:
    static constexpr double s_fastLinkMegabits = 1000;
    /// Start of the backend server's first run, in milliseconds since 1970.
    static constexpr std::uint64_t s_firstRun = 1'700'000'000'000;

    /// \param store "IP:PORT" of the store.
    /// \param backend "IP:PORT" of the backend server beside the node.
    FleetNode(const TemporaryDirectory&, const std::string& name, const std::string& zone, const std::string& service, const std::string& store, const std::string& backend,
        double linkMegabits = s_fastLinkMegabits);

    Process& process() { return *m_process; }
    const std::string& outbound() const { return m_outbound; }
    /// Where other nodes send their calls.
    const std::string& calls() const { return m_calls; }

    /// \returns the status of the platform's question whether the node is ready.
    unsigned readiness() const;
    /// The backend server says what it is; \returns the status of the answer.
    /// \param born start of the run, in milliseconds since 1970.
    unsigned announce(const std::string& instance, const std::string& state, std::uint64_t sequence, std::uint64_t born = s_firstRun) const;
    unsigned depart(const std::string& instance) const;
    /// Kills the process and starts it again with the same settings and addresses.
    void restart();

private:
    std::string m_service;
    std::string m_zone;
    std::string m_backend;
    std::string m_calls;
    std::string m_outbound;
    std::string m_ready;
    std::string m_control;
    std::vector<std::string> m_arguments;
    std::string m_errorFile;
    std::unique_ptr<Process> m_process;
};

/// Writes a record of the operator to the store.
void putOrder(const std::string& store, const std::string& key, const std::string& value);
/// Writes a record of a keyed topic, as any writer may.
void putRecord(const std::string& store, const std::string& topic, const std::string& key, const std::string& value);
/// \returns the newest record of each key; values are in base64.
nlohmann::json newestRecords(const std::string& store, const std::string& topic);

}
