#pragma once

#include "FakeEvidence.h"
#include "carobpath/distribution/GossipEngine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carobpath::distribution {

/// Options of a simulated fleet.
struct FleetOptions {
    std::size_t nodes = 12;
    std::size_t domains = 3;
    /// Number of nodes whose addresses every starting node knows.
    std::size_t seeds = 4;
    std::uint64_t seed = 1;
    /// Fractions of messages that are lost and that are duplicated.
    double loss = 0;
    double duplicates = 0;
    /// Bounds of the random delay of a message. Messages can overtake each other.
    std::chrono::microseconds minDelay { 500 };
    std::chrono::microseconds maxDelay { 2000 };
    /// Number of services in each version of the configuration.
    std::size_t services = 3;
    std::size_t routesPerService = 2;
    /// Return the size in bytes of a message and a snapshot. If empty, bytes are not counted.
    std::function<std::size_t(const PeerMessage&)> sizeOf;
    std::function<std::size_t(const StateSnapshot&)> sizeOfSnapshot;
    /// Fraction of the deltas that lose an entry in transit.
    double damagedDeltas = 0;
    /// Variants without a safety mechanism, to show that the checks detect it: the version floor counts as known at once;
    /// every set has the same digest.
    bool withoutVersionFloor = false;
    bool withoutDigests = false;
    /// Whether every node reads the log itself.
    bool eachNodeReads = false;
    /// Whether the elected readers get each version as it is published; otherwise a node reads only when a test lets it.
    bool electedNodesRead = true;
    /// Whether the CPU time spent in the gossip engines is measured.
    bool measureCpu = false;
};

/// Simulates the gossip engines of many nodes and a log under a virtual clock, and delivers messages between them directly.
/// Checks on each activation that no address reverts to an older version and that no incomplete set becomes active.
class Fleet {
public:
    explicit Fleet(FleetOptions);

    void run(std::chrono::milliseconds);
    /// \returns the time until the condition held, or nothing if it did not hold within the limit.
    std::optional<std::chrono::milliseconds> runUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);

    /// Appends a version to the log. \returns its offset.
    publication::Offset publish();
    /// Appends a version in which each route has changed. \returns its offset.
    publication::Offset publishWholeChange();
    /// Starts a process without state at the node's address.
    void start(std::size_t node);
    void startAll();
    void kill(std::size_t node);
    /// Lets the node read the log once, whether it is a log reader or not.
    void readOnce(std::size_t node) { readLog(node, m_nodes[node].incarnation, false); }
    /// Delivers to the node the answer to an earlier read, in which this version was the newest.
    void deliverRead(std::size_t node, publication::Offset newest);
    void pause(std::size_t node);
    void resume(std::size_t node);
    void setUpstream(std::size_t node, membership::UpstreamState);
    void setLogUp(bool up) { m_logUp = up; }
    /// Partitions a failure domain from all others and, if \c logToo is set, from the log.
    void cut(std::size_t domain, bool logToo);
    void heal() { m_cut.clear(); }
    void healLog() { m_logCut.clear(); }
    void cutLog(std::size_t domain) { m_logCut.insert(domain); }
    /// Lets a random share of the connections that were used lately fall silent: their messages are lost until the timeout of
    /// the first of them closes the connection.
    void silenceConnections(double share);
    /// Reports to the node that a stream has reached this end.
    void reachEnd(std::size_t node, const StreamEnd&);

    std::size_t size() const { return m_nodes.size(); }
    std::size_t domainOf(std::size_t node) const { return node % m_options.domains; }
    bool running(std::size_t node) const { return m_nodes[node].engine != nullptr; }
    GossipEngine& engine(std::size_t node) { return *m_nodes[node].engine; }
    FakeEvidence& evidence(std::size_t node) { return *m_nodes[node].evidence; }
    /// \returns the active configuration of the node, or null while it is not ready.
    publication::ConfigurationPointer serving(std::size_t node) const;
    /// \returns the furthest end of any stream that a peer told the node of.
    publication::StreamPosition streamEnd(std::size_t node) const { return m_nodes[node].streamEnd; }
    /// \returns whether every running node that is not paused serves with the offset.
    bool allServe(publication::Offset) const;
    /// \returns whether every running node knows this number of live nodes, including itself.
    bool allKnow(std::size_t live) const;
    std::size_t runningNodes() const;
    MonotonicTime now() const { return m_now; }
    /// Executes commands that a test received from a node's engine.
    void execute(std::size_t node, Commands);

    const std::vector<std::string>& violations() const { return m_violations; }
    /// \returns the version that was published last.
    publication::Offset newest() const { return m_log.back()->stamp.offset; }
    std::uint64_t logReads() const { return m_logReads; }
    /// Stops counting bytes and CPU time.
    void stopCounting();
    std::uint64_t bytesSent(std::size_t node) const { return m_nodes[node].bytes; }
    std::uint64_t bytesSent() const;
    std::chrono::nanoseconds cpu() const { return m_cpu; }
    std::size_t readers() const;

private:
    struct Node {
        membership::NodeEntry entry;
        std::unique_ptr<GossipEngine> engine;
        std::shared_ptr<FakeEvidence> evidence;
        std::uint64_t incarnation = 0;
        bool paused = false;
        bool reading = false;
        bool ready = false;
        publication::ConfigurationPointer active;
        /// Highest offset that was active at the address, over all incarnations.
        std::optional<publication::Offset> highest;
        std::uint64_t bytes = 0;
        publication::StreamPosition streamEnd;
        std::vector<std::function<void()>> deferred;
    };
    struct Event {
        MonotonicTime at;
        std::uint64_t number;
        std::function<void()> action;
        friend bool operator>(const Event& a, const Event& b) { return std::tie(a.at, a.number) > std::tie(b.at, b.number); }
    };
    /// The connection over which one node sends requests to another.
    struct Connection {
        MonotonicTime usedAt;
        bool isSilent = false;
        std::optional<MonotonicTime> closesAt;
    };
    using Step = std::function<Commands(GossipEngine&)>;

    void schedule(std::chrono::microseconds delay, std::function<void()>);
    /// Runs a step at a node unless its incarnation has ended. A paused node runs it when it is resumed.
    void at(std::size_t node, std::uint64_t incarnation, std::chrono::microseconds delay, Step);
    void step(std::size_t node, std::uint64_t incarnation, const Step&);
    void tickLater(std::size_t node, std::uint64_t incarnation, std::chrono::microseconds delay);
    void execute(std::size_t node, Command&);
    void sendGossip(std::size_t node, const SendGossip&);
    void answer(std::size_t asked, std::size_t asking, std::uint64_t askingIncarnation, const SendGossip&);
    void sendPush(std::size_t node, const SendPush&);
    void fetchSnapshot(std::size_t node, const FetchSnapshot&);
    void activate(std::size_t node, const publication::ConfigurationPointer&);
    void readLog(std::size_t node, std::uint64_t incarnation, bool again);
    void count(std::size_t sender, std::size_t bytes);
    std::chrono::microseconds delay();
    bool chance(double);
    bool reachable(std::size_t a, std::size_t b) const;
    /// \returns whether a request passes, which the sender waits for no longer than the timeout.
    bool passes(std::size_t from, std::size_t to, std::chrono::milliseconds timeout);
    bool logReachable(std::size_t node) const;
    std::size_t indexOf(const Endpoint&) const;
    PeerMessage asReceived(const PeerMessage&);
    Digest digestOf(const publication::ConfigurationSet&) const;
    publication::ConfigurationPointer makeVersion(publication::Offset) const;
    publication::Offset append(publication::ConfigurationPointer);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    MonotonicTime m_now {};
    std::vector<Node> m_nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_eventNumber = 0;
    std::vector<publication::ConfigurationPointer> m_log;
    bool m_logUp = true;
    std::set<std::size_t> m_cut;
    std::set<std::size_t> m_logCut;
    std::map<std::pair<std::size_t, std::size_t>, Connection> m_connections;
    std::uint64_t m_logReads = 0;
    std::vector<std::string> m_violations;
    std::chrono::nanoseconds m_cpu {};
};

}
