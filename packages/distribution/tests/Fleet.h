#pragma once

#include "FakeEvidence.h"
#include "carobpath/distribution/GossipEngine.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace carobpath::distribution {

/// How an in-memory exchange is set up.
struct FleetOptions {
    std::size_t nodes = 12;
    std::size_t domains = 3;
    /// Nodes that every starting node knows the address of.
    std::size_t seeds = 4;
    std::uint64_t seed = 1;
    /// Part of the messages that is lost, and that comes twice.
    double loss = 0;
    double duplicates = 0;
    /// Each message takes a time between the two, so messages cross.
    std::chrono::microseconds minDelay { 500 };
    std::chrono::microseconds maxDelay { 2000 };
    /// Services in each version of the configuration.
    std::size_t services = 3;
    std::size_t routesPerService = 2;
    /// Bytes of a message; not counted where empty.
    std::function<std::size_t(const PeerMessage&)> sizeOf;
    std::function<std::size_t(const StateSnapshot&)> sizeOfSnapshot;
    /// Part of the deltas that lose an entry on the way.
    double damagedDeltas = 0;
    /// Variants that lack a safety mechanism, to show that the checks see it: the floor is taken as known at once;
    /// every set has the same digest.
    bool withoutFloor = false;
    bool withoutDigests = false;
    /// Every node reads the log itself.
    bool eachNodeReads = false;
    /// Whether the time within the decision objects is taken.
    bool measureCpu = false;
};

/// Exchanges of many nodes, delivered directly to one another under a virtual clock, with a log beside them.
/// Checks at each step that no address goes back and that nothing is in force in part.
class Fleet {
public:
    explicit Fleet(FleetOptions);

    void run(std::chrono::milliseconds);
    /// \returns the time until the condition held, or nothing where it did not within the limit.
    std::optional<std::chrono::milliseconds> runUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);

    /// Appends a version to the log. \returns its offset.
    publication::Offset publish();
    /// Starts a process that knows nothing at the node's address.
    void start(std::size_t node);
    void startAll();
    void kill(std::size_t node);
    /// The node reads the log once, whether it is a reader or not.
    void readOnce(std::size_t node) { readLog(node, m_nodes[node].life, false); }
    void pause(std::size_t node);
    void resume(std::size_t node);
    void setUpstream(std::size_t node, membership::UpstreamState);
    void setLogUp(bool up) { m_logUp = up; }
    /// Cuts a failure domain off from all others, and from the log where that is wanted.
    void cut(std::size_t domain, bool logToo);
    void heal() { m_cut.clear(); }
    void healLog() { m_logCut.clear(); }
    void cutLog(std::size_t domain) { m_logCut.insert(domain); }

    std::size_t size() const { return m_nodes.size(); }
    std::size_t domainOf(std::size_t node) const { return node % m_options.domains; }
    bool running(std::size_t node) const { return m_nodes[node].exchange != nullptr; }
    GossipEngine& engine(std::size_t node) { return *m_nodes[node].exchange; }
    FakeEvidence& evidence(std::size_t node) { return *m_nodes[node].evidence; }
    /// \returns what the node serves with now: null while it is not ready.
    publication::ConfigurationPointer serving(std::size_t node) const;
    /// \returns whether every running node serves with the offset.
    bool allServe(publication::Offset) const;
    /// \returns whether every running node knows so many live nodes, itself included.
    bool allKnow(std::size_t live) const;
    std::size_t runningNodes() const;
    MonotonicTime now() const { return m_now; }
    /// Executes commands that a test got from a node.
    void execute(std::size_t node, Commands);

    const std::vector<std::string>& violations() const { return m_violations; }
    std::uint64_t logReads() const { return m_logReads; }
    /// Counts no bytes and no time any more.
    void stopCounting();
    std::uint64_t bytesSent(std::size_t node) const { return m_nodes[node].bytes; }
    std::uint64_t bytesSent() const;
    std::chrono::nanoseconds cpu() const { return m_cpu; }
    std::size_t readers() const;

private:
    struct Node {
        membership::NodeEntry entry;
        std::unique_ptr<GossipEngine> exchange;
        std::shared_ptr<FakeEvidence> evidence;
        std::uint64_t life = 0;
        bool paused = false;
        bool reading = false;
        bool ready = false;
        publication::ConfigurationPointer inForce;
        /// Highest offset that was in force at the address, over all lives.
        std::optional<publication::Offset> highest;
        std::uint64_t bytes = 0;
        std::vector<std::function<void()>> deferred;
    };
    struct Event {
        MonotonicTime at;
        std::uint64_t number;
        std::function<void()> action;
        friend bool operator>(const Event& a, const Event& b) { return std::tie(a.at, a.number) > std::tie(b.at, b.number); }
    };
    using Step = std::function<Commands(GossipEngine&)>;

    void schedule(std::chrono::microseconds delay, std::function<void()>);
    /// Runs a step at a node unless its life ended; a paused node runs it once it is resumed.
    void at(std::size_t node, std::uint64_t life, std::chrono::microseconds delay, Step);
    void step(std::size_t node, std::uint64_t life, const Step&);
    void tickLater(std::size_t node, std::uint64_t life, std::chrono::microseconds delay);
    void execute(std::size_t node, Command&);
    void sendExchange(std::size_t node, const SendGossip&);
    void answer(std::size_t asked, std::size_t asking, std::uint64_t askingLife, const SendGossip&);
    void sendPush(std::size_t node, const SendPush&);
    void fetchWhole(std::size_t node, const FetchSnapshot&);
    void putInForce(std::size_t node, const publication::ConfigurationPointer&);
    void readLog(std::size_t node, std::uint64_t life, bool again);
    void count(std::size_t sender, std::size_t bytes);
    std::chrono::microseconds delay();
    bool chance(double);
    bool reachable(std::size_t a, std::size_t b) const;
    bool logReachable(std::size_t node) const;
    std::size_t indexOf(const Endpoint&) const;
    PeerMessage carried(const PeerMessage&);
    Digest digestOf(const publication::ConfigurationSet&) const;
    publication::ConfigurationPointer makeVersion(publication::Offset) const;

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
    std::uint64_t m_logReads = 0;
    std::vector<std::string> m_violations;
    std::chrono::nanoseconds m_cpu {};
};

}
