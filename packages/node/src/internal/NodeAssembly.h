#pragma once

#include "carobpath/foundation/NodeSettings.h"
#include "carobpath/gateway/AdminServer.h"
#include "carobpath/gateway/Gateway.h"
#include "carobpath/peer/ExchangeRunner.h"
#include "carobpath/peer/PeerRuntime.h"
#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/EntryRouter.h"
#include "internal/AdminApi.h"
#include "internal/CallLog.h"
#include "internal/CheckpointDriver.h"
#include "internal/DrainDriver.h"
#include "internal/FleetDriver.h"
#include "internal/LedgerDriver.h"
#include "internal/LogReader.h"
#include "internal/MoveDriver.h"
#include "internal/NodeContext.h"
#include "internal/NodeMetrics.h"
#include "internal/QuarantineDriver.h"
#include "internal/QuotaDriver.h"
#include "internal/UpstreamDriver.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>

namespace carobpath::node::Detail {

/// The parts of one node and what passes between them. Holds no decision of its own.
class NodeAssembly {
public:
    NodeAssembly(boost::asio::io_context&, const NodeSettings&, std::ostream& events);

    /// Listens on every address and begins to work.
    Result<void> start();

    /// See \c Daemon::stop.
    void stop(std::function<void()> stopped);

    /// See \c Daemon::onSettingsRead and \c Daemon::onSettingsRefused.
    void onSettingsRead(const NodeSettings&);
    void onSettingsRefused(const SettingsFaults&);

private:
    using Reader = LogReader<platform::StoreClient>;

    Result<void> listen();
    Result<void> listenForAdmin();
    Result<void> startReader();
    Result<void> startFleet();
    platform::StoreClientOptions storeOptions();
    FleetHooks fleetHooks();
    moves::TrafficSplit shareOf(const ServiceName&) const;
    distribution::EvidencePort evidencePort();
    /// \param nodes that share the bound of retries.
    routing::EntryPolicy entryPolicy(std::size_t nodes) const;
    bool inFleet() const { return m_settings.platform == PlatformKind::Fleet; }
    bool serving() const { return m_ready && !m_draining; }
    Result<void> startPeers();
    gateway::GatewayHooks gatewayHooks();
    LogReaderHooks readerHooks();
    peer::RunnerCallbacks peerCallbacks();
    AdminSources adminSources();
    void recordStarted();

    /// A configuration was read from the store; it comes into force if none as new is held.
    /// \param span the records that led to it, if they are all configurations.
    void onConfigurationRead(const publication::ConfigurationPointer&, const std::optional<publication::RecordSpan>& span);
    void onConfiguration(const publication::ConfigurationPointer&);
    void onView(const std::shared_ptr<const membership::MembershipView>&);
    /// Another node told how long calls take in its failure domain.
    void onAnswerTimes(const NodeName& from, const std::vector<membership::AnswerTime>&);
    void onReady(bool exchangeReady);
    void setOrdersKnown();
    void onStep(const publication::AppliedRecord&);
    void onBackend(const gateway::BackendObservation&);

    std::string status() const;

    void scheduleTick();
    /// \param delay time that the tick, and so each event that was due with it, waited for the thread.
    void recordDelay(std::chrono::milliseconds delay);
    void recordLinkLoad();
    void tick();
    void slowTick();
    void finishStop();

    NodeSettings m_settings;
    HybridClock m_clock;
    Logger m_logger;
    Incarnation m_incarnation;
    EventLog m_events;
    NodeContext m_context;
    NodeMetrics m_metrics;
    CallLog m_callLog;

    platform::StoreClient m_log;
    routing::EntryRouter m_router;
    QuarantineDriver m_quarantine;
    routing::AdmissionController m_controller;
    std::shared_ptr<capacity::InnerCalls> m_innerCalls = std::make_shared<capacity::InnerCalls>();
    LedgerDriver m_ledger;
    QuotaDriver m_quota;
    std::optional<CheckpointDriver> m_checkpoints;
    std::optional<MoveDriver> m_moves;
    std::optional<gateway::Gateway> m_gateway;
    std::optional<gateway::AdminServer> m_admin;
    std::optional<UpstreamDriver> m_upstream;
    /// Either this or the reader of the log, by the platform of the settings.
    std::optional<FleetDriver> m_fleet;
    std::shared_ptr<Reader> m_reader;
    std::shared_ptr<peer::PeerRuntime> m_peerRuntime;
    std::shared_ptr<peer::ExchangeRunner> m_peers;

    publication::ConfigurationPointer m_configuration;
    /// The configuration that was last read from the store.
    std::optional<publication::ConfigurationStamp> m_readStamp;
    std::shared_ptr<const membership::MembershipView> m_view;
    boost::asio::steady_timer m_tick;
    std::optional<DrainDriver> m_drain;
    /// Valid once the node is stopping.
    MonotonicTime m_stoppingAt;
    std::function<void()> m_stopped;
    MonotonicTime m_slowTickAt;
    capacity::LinkLoad m_linkLoad;
    MonotonicTime m_startedAt;
    bool m_exchangeReady = false;
    /// The operator's orders were read once, or waited for long enough.
    bool m_ordersKnown = false;
    bool m_ready = false;
    bool m_draining = false;
};

}
