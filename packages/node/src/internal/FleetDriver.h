#pragma once

#include "carobpath/distribution/StreamEnds.h"
#include "carobpath/gateway/AdminServer.h"
#include "carobpath/platform/ConfigurationReader.h"
#include "carobpath/platform/StoreClient.h"
#include "carobpath/publication/ConfigurationSet.h"
#include "internal/DepartureDriver.h"
#include "internal/DirectoryDriver.h"
#include "internal/KeyedReader.h"
#include "internal/NodeContext.h"
#include "internal/OrderedMoveDriver.h"
#include "internal/UpstreamDriver.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carobpath::node::Detail {

/// What a node that runs in the shared fleet tells the rest of the node.
struct FleetHooks {
    /// With the records that led to it, if they are all configurations.
    std::function<void(const publication::ConfigurationPointer&, const std::optional<publication::RecordSpan>&)> onConfiguration;
    /// The operator's stream was read to its end.
    std::function<void()> onStoreRead;
    std::function<void(const std::vector<Endpoint>& peers)> onPeersFound;
    std::function<bool()> ready;
    /// A finding about a move must be spread at once.
    std::function<void()> onNotice;
    std::function<void(bool)> onStoreAvailable;
    /// A stream of the store was read up to this end, or a check told that it reaches it.
    std::function<void(const distribution::StreamEnd&)> onStreamEnd;
};

/// The node's ends towards the shared fleet: its store, its readiness questions and its backend servers' announcements.
class FleetDriver {
public:
    FleetDriver(NodeContext&, platform::StoreClient&, UpstreamDriver&, FleetHooks);

    OrderedMoveDriver& moves() const { return *m_moves; }

    /// \returns the time since the store last answered a read of the operator's stream; nothing before the first answer.
    std::optional<std::chrono::milliseconds> orderAge() const;

    /// Fails with \c gateway::ListenFailure.
    Result<void> listen();
    /// \param peer where this node listens for peers.
    void start(const Endpoint& peer);
    /// The node is asked to stop: its directory entry goes.
    void leave();
    void stop();

    void onView(const membership::MembershipView&);
    /// A peer knows that a stream reaches this end.
    void onStreamAdvanced(const distribution::StreamEnd&);
    /// A peer has forwarded what these records of the operator's stream changed; it will be in force soon.
    void onRecordsForwarded(const publication::RecordSpan&);
    /// What these records of the operator's stream changed is adopted.
    void onRecordsAdopted(const publication::RecordSpan&);
    /// The store has come back from a copy.
    void onStoreReturned(const platform::StoreEraChange&);
    /// \param isIsolated whether no other node has been heard for a while, so that none can tell of new records.
    void onTick(MonotonicTime now, bool isIsolated);

private:
    using Reader = KeyedReader<platform::StoreClient>;

    /// \returns whether this node waits for new records at the store, as far as its rank decides.
    bool isPollingNodeIn(const membership::MembershipView&) const;
    KeyedReaderHooks readerHooks();
    StreamHooks streamHooks(std::string_view stream);
    /// Logs that a peer knows more of the operator's stream than this node has read.
    void recordStreamAhead(const distribution::StreamEnd&);
    /// Logs that a configuration was read.
    /// \param applying time that it took to decode the configuration and to put it into force.
    void recordConfigurationRead(const AnsweredRead&, const publication::ConfigurationVersion&, std::size_t bytes, std::chrono::milliseconds applying);
    /// Both return whether the record can be used.
    bool onOrder(const publication::KeyedRecord&);
    bool onConfigurationRecord(const publication::KeyedRecord&);
    gateway::AdminResponse answerReadiness(const gateway::AdminRequest&) const;
    void answerAnnouncement(const gateway::AdminRequest&, const gateway::AdminServer::Reply&);
    /// Both fail with \c platform::DocumentFault.
    Result<void> announce(const std::string& instance, const std::string& body, const gateway::AdminServer::Reply&);
    Result<void> depart(const std::string& instance, const std::string& body, const gateway::AdminServer::Reply&);
    /// Acknowledges that the run leaves once that outlasts this process.
    void acknowledgeLeaving(const membership::BackendRun&, const gateway::AdminServer::Reply&);

    NodeContext& m_context;
    platform::StoreClient& m_store;
    UpstreamDriver& m_upstream;
    FleetHooks m_hooks;
    std::shared_ptr<Reader> m_reader;
    platform::ConfigurationReader m_configurations;
    /// Size of the last configuration that was read; allows for a large one before the first.
    std::size_t m_configurationBytes = publication::ReadWatchdog::s_largeAnswerBytes;
    bool m_isPollingNode = true;
    /// The end of the configurations that peers forwarded and that are adopted.
    publication::StreamPosition m_adoptedEnd;
    /// When this node checks the streams; nothing if other nodes check them.
    std::optional<publication::CheckSchedule> m_checkSchedule;
    /// For the operator's stream, whose records are large; those of the stream of states are not.
    std::chrono::milliseconds m_deliveryTimeout = publication::ReadWatchdog::s_deliveryTimeout;
    std::shared_ptr<DirectoryDriver> m_directory;
    std::shared_ptr<DepartureDriver> m_departures;
    std::shared_ptr<OrderedMoveDriver> m_moves;
    std::optional<gateway::AdminServer> m_readiness;
    std::optional<gateway::AdminServer> m_announcements;
};

}
