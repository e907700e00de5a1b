#pragma once

#include "Caller.h"
#include "Process.h"
#include "TemporaryDirectory.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::harness {

/// A member of the consortium with its keys.
struct TestMember {
    std::string name;
    std::string privateKey;
    std::string publicKey;
};

/// \returns a member with a key pair of its own.
TestMember makeMember(const std::string& name);

/// What a node of a test is told.
struct NodeOptions {
    std::string name = "node-1";
    std::string region = "jordan";
    std::string failureDomain = "amman-a";
    std::string logEndpoint;
    std::vector<std::string> seeds;
    std::string fleetKey;
    std::vector<TestMember> members;
    /// Further lines of YAML, such as "timeouts: {caller-idle: 1s}".
    std::string extra;
};

/// A carobpathd that the test starts. It is started again at the same addresses after its end.
class NodeProcess {
public:
    NodeProcess(const TemporaryDirectory&, NodeOptions);

    /// Starts the process, or starts it again.
    void start();

    Process& process() { return *m_process; }
    const std::string& name() const { return m_options.name; }
    const std::string& failureDomain() const { return m_options.failureDomain; }
    const std::string& callers() const { return m_callers; }
    const std::string& peer() const { return m_peer; }
    const std::string& admin() const { return m_admin; }

    /// \returns what the admin address answers.
    CallerAnswer admin(const std::string& target) const;
    /// \returns the JSON of the admin address; null where it does not answer with 200.
    nlohmann::json adminJson(const std::string& target) const;
    bool isReady() const { return admin("/ready").status == 200; }

    /// \returns the lines of every life so far.
    std::string timeLine() const;

private:
    std::string settingsText() const;

    const TemporaryDirectory& m_directory;
    NodeOptions m_options;
    std::string m_callers = "127.0.0.1:0";
    std::string m_calls = "127.0.0.1:0";
    std::string m_peer = "127.0.0.1:0";
    std::string m_admin = "127.0.0.1:0";
    int m_lives = 0;
    std::string m_earlierLines;
    std::unique_ptr<Process> m_process;
};

}
