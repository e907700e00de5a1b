#pragma once

#include "NodeProcess.h"
#include "Operator.h"
#include "Publisher.h"
#include "Standins.h"

#include <memory>
#include <string>
#include <vector>

namespace carobpath::harness {

/// A backend server and the node beside it.
struct Instance {
    std::unique_ptr<NodeProcess> node;
    std::unique_ptr<BackendStandin> backend;
};

/// A log, instances and members: what a process test starts from.
class Fleet {
public:
    /// \param members the first is the one that most tests publish as.
    explicit Fleet(const std::vector<std::string>& members = { "petra" });

    const TemporaryDirectory& directory() const { return m_directory; }
    LogStandin& log() { return m_log; }
    std::vector<Instance>& instances() { return m_instances; }
    NodeProcess& node(std::size_t i) { return *m_instances.at(i).node; }
    BackendStandin& backend(std::size_t i) { return *m_instances.at(i).backend; }

    /// Where nodes find the log; another address than the log's own puts a relay between.
    void setLogEndpoint(const std::string& endpoint) { m_logEndpoint = endpoint; }

    /// Starts a node with a backend server beside it.
    Instance& add(const std::string& failureDomain, BackendOptions, const std::string& extraSettings = "");

    /// Starts the backend server of an instance again.
    void restartBackend(std::size_t i);

    Operator operatorOf(const std::string& member);
    Publisher publisherOf(const std::string& member);

    /// Publishes Petra's booking service, and waits until it is in force and every backend server is known.
    void publishBooking();

    /// Waits until each running node has the configuration offset, or a later one, in force.
    void waitUntilInForce(std::uint64_t offset);

    /// Waits until each running node knows this many upstreams of the version.
    void waitUntilUpstreams(const std::string& version, std::size_t count);

    /// \returns how often calls whose path contains the text were run, over all backend servers.
    std::size_t runsOf(const std::string& pathPart) const;

    /// \returns the executed events of every backend server.
    std::vector<EventLine> runs() const;

    /// \returns what all nodes wrote to their time lines.
    std::string timeLines() const;

    /// \returns the admin addresses of every node.
    std::vector<std::string> adminEndpoints() const;
    /// \returns the callers' addresses of every node.
    std::vector<std::string> callerEndpoints() const;

private:
    std::vector<std::string> seeds() const;
    const TestMember& member(const std::string& name) const;

    TemporaryDirectory m_directory;
    LogStandin m_log { m_directory };
    std::string m_logEndpoint;
    std::string m_fleetKey;
    std::vector<TestMember> m_members;
    std::vector<BackendOptions> m_backendOptions;
    std::vector<Instance> m_instances;
};

}
