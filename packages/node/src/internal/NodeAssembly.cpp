#include "internal/NodeAssembly.h"

#include "carobpath/foundation/EventNames.h"
#include "carobpath/platform/FleetDialect.h"
#include "internal/SettingsConversions.h"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    /// A node that cannot read the store serves all the same after it, by what its peers tell.
    constexpr std::chrono::milliseconds longestWaitForOrders { 5'000 };
    /// A refusal for load costs one short exchange between nodes.
    constexpr std::uint32_t placesInFleet = 6;
    constexpr std::chrono::milliseconds tickInterval { 100 };
    constexpr std::chrono::milliseconds slowTickInterval { 1'000 };
    /// A node that has heard no peer for longer than this looks for new orders itself.
    constexpr std::chrono::milliseconds longestPeerSilence { 1'200 };
    /// A tick that is later than this is recorded.
    constexpr std::chrono::milliseconds recordedDelay { 200 };

    Incarnation incarnationNow()
    {
        const auto sinceEpoch = WallClock::now().time_since_epoch();
        return Incarnation { static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()) };
    }

    std::vector<NodeName> aliveNodes(const membership::MembershipView& view)
    {
        std::vector<NodeName> names;
        for (const auto& node : view.nodes) {
            if (node.liveness == membership::Liveness::Alive && !node.entry.leaving)
                names.push_back(node.entry.name);
        }
        return names;
    }

    std::vector<moves::OrderedMoves::ServingUpstream> servingUpstreams(const membership::MembershipView& view)
    {
        std::vector<moves::OrderedMoves::ServingUpstream> upstreams;
        for (const auto& node : view.nodes) {
            const auto& upstream = node.entry.upstream;
            const bool serves = upstream && !node.entry.leaving && upstream->state == membership::UpstreamState::Ready;
            if (serves && node.liveness == membership::Liveness::Alive)
                upstreams.push_back({ upstream->service, upstream->version, node.entry.name });
        }
        return upstreams;
    }

}

NodeAssembly::NodeAssembly(boost::asio::io_context& io, const NodeSettings& settings, std::ostream& events)
    : m_settings(settings)
    , m_logger("node")
    , m_incarnation(incarnationNow())
    , m_events(events, "node/" + settings.name.value(), m_incarnation, m_clock)
    , m_context { io, m_settings, m_incarnation, m_events, m_clock, m_logger }
    , m_callLog(m_events)
    , m_log(io.get_executor(), storeOptions())
    , m_router(m_context.random())
    , m_quarantine(m_context)
    , m_controller(admissionPolicyOf(settings))
    , m_ledger(m_context, m_log)
    , m_quota(m_context)
    , m_peerRuntime(std::make_shared<peer::PeerRuntime>(io))
    , m_tick(io)
{
}

Result<void> NodeAssembly::start()
{
    BOOST_LEAF_AUTO(fleetKey, fleetKeyOf(m_settings));
    m_checkpoints.emplace(m_context, m_log, fleetKey);
    m_controller.setFingerprintChecks(m_quarantine.checks());
    if (m_settings.limits.innerCalls) {
        m_controller.setInnerCalls(m_innerCalls);
        m_router.setInnerCalls(m_innerCalls);
    }
    m_router.setQuarantineSource([this](std::uint64_t fingerprint, MonotonicTime now) { return m_quarantine.quarantine().refusedFor(fingerprint, now); });
    m_moves.emplace(m_context, m_log, fleetKey, [this] { m_peers->notifyEvidence(); });
    BOOST_LEAF_CHECK(listen());
    BOOST_LEAF_CHECK(inFleet() ? startFleet() : startReader());
    m_router.setPolicy(entryPolicy(1));
    m_router.setLocalNode(m_settings.name, m_settings.failureDomain);
    m_router.setTrafficSplitSource([this](const ServiceName& service) { return shareOf(service); });
    BOOST_LEAF_CHECK(startPeers());
    m_ledger.setPeers(&m_peers->client());
    m_quota.setPeers(&m_peers->client());
    m_quarantine.setPeers(&m_peers->client());
    // On the fleet no move reaches this engine; its ticks would be wake-ups for nothing.
    if (!inFleet())
        m_moves->start();
    scheduleTick();
    recordStarted();
    m_startedAt = MonotonicClock::now();
    m_peers->start();
    if (m_fleet)
        m_fleet->start(m_peers->endpoint());
    return {};
}

Result<void> NodeAssembly::listen()
{
    gateway::Gateway::Builder builder { m_context.io, m_router, m_controller };
    builder.node(m_settings.name, m_incarnation);
    builder.callers(m_settings.listen.callers);
    builder.calls(m_settings.listen.calls);
    builder.limits(limitsOf(m_settings));
    builder.service(m_settings.backend.service);
    if (inFleet())
        builder.dialect(platform::fleetDialect());
    builder.hooks(gatewayHooks());
    BOOST_LEAF_AUTO(gateway, builder.build());
    m_gateway.emplace(std::move(gateway));
    m_upstream.emplace(m_context, expectedBackendOf(m_settings), m_controller, *m_gateway, [this](std::optional<membership::Upstream> upstream) {
        if (!m_draining)
            m_peers->setUpstream(std::move(upstream));
    });
    return listenForAdmin();
}

Result<void> NodeAssembly::listenForAdmin()
{
    BOOST_LEAF_AUTO(admin, gateway::AdminServer::listen(m_context.io, m_settings.listen.admin, [api = AdminApi { adminSources() }](const gateway::AdminRequest& request) { return api.answer(request); }));
    m_admin.emplace(std::move(admin));
    return {};
}

Result<void> NodeAssembly::startReader()
{
    BOOST_LEAF_AUTO(keys, trustedKeysOf(m_settings));
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.timeouts.logWait);
    m_reader = std::make_shared<Reader>(m_context.io, m_log, m_settings.log.stream, std::move(keys), wait, readerHooks(), m_context.random());
    return {};
}

Result<void> NodeAssembly::startFleet()
{
    m_fleet.emplace(m_context, m_log, *m_upstream, fleetHooks());
    m_callLog.setConfigurationAge([this] { return m_fleet->orderAge(); });
    return m_fleet->listen();
}

moves::TrafficSplit NodeAssembly::shareOf(const ServiceName& service) const
{
    if (m_fleet)
        return m_fleet->moves().engine().trafficSplit(service, MonotonicClock::now());
    return m_moves->engine().trafficSplit(service, NodeContext::now());
}

distribution::EvidencePort NodeAssembly::evidencePort()
{
    if (m_fleet) {
        auto& engine = m_fleet->moves().engine();
        return distribution::makeEvidencePort<moves::EvidenceCursor>(engine, [&engine](const moves::EvidenceUpdate& update) { engine.merge(update); });
    }
    auto& engine = m_moves->engine();
    return distribution::makeEvidencePort<moves::EvidenceCursor>(engine, [&engine](const moves::EvidenceUpdate& update) { engine.merge(update, NodeContext::now()); });
}

routing::EntryPolicy NodeAssembly::entryPolicy(std::size_t nodes) const
{
    routing::EntryPolicy policy;
    policy.retries = routing::allowanceOf(retryBoundOf(m_settings), nodes);
    policy.splitDeadline = !inFleet();
    if (m_settings.balancing.speedMemory.count() > 0)
        policy.picks = routing::PickPolicy::byLearnedSpeed();
    policy.localDomainFirst = inFleet();
    policy.throttlesCalls = inFleet();
    policy.maxCandidates = inFleet() ? placesInFleet : policy.maxCandidates;
    return policy;
}

Result<void> NodeAssembly::startPeers()
{
    membership::NodeEntry self;
    self.name = m_settings.name;
    self.region = m_settings.region;
    self.domain = m_settings.failureDomain;
    self.revision.incarnation = m_incarnation;
    self.addresses.callers = m_gateway->callersEndpoint();
    self.addresses.calls = m_gateway->callsEndpoint();
    self.addresses.admin = m_admin->endpoint();
    try {
        m_peers = peer::ExchangeRunner::Builder { m_peerRuntime }
                      .self(std::move(self))
                      .listen(m_settings.listen.peer)
                      .seeds(m_settings.seeds)
                      .random(m_context.random())
                      .evidence(evidencePort())
                      .callbacks(peerCallbacks())
                      .eachNodeReads(inFleet())
                      .build();
    } catch (const boost::system::system_error& error) {
        return boost::leaf::new_error(gateway::ListenFailure { m_settings.listen.peer, error.code().value() });
    }
    return {};
}

void NodeAssembly::recordStarted()
{
    m_events.record(Event(event::started)
                        .with("callers", m_gateway->callersEndpoint())
                        .with("calls", m_gateway->callsEndpoint())
                        .with("peer", m_peers->endpoint())
                        .with("admin", m_admin->endpoint())
                        .with("region", m_settings.region)
                        .with("failureDomain", m_settings.failureDomain));
}

void NodeAssembly::onConfigurationRead(const publication::ConfigurationPointer& configuration, const std::optional<publication::RecordSpan>& span)
{
    if (m_configuration && configuration->stamp.offset < m_configuration->stamp.offset) {
        m_events.record(Event(event::configurationPassedOver)
                            .with("offset", configuration->stamp.offset)
                            .with("held", m_configuration->stamp.offset));
    }
    m_readStamp = configuration->stamp;
    m_peers->publishConfiguration(configuration, span);
}

void NodeAssembly::onConfiguration(const publication::ConfigurationPointer& configuration)
{
    m_configuration = configuration;
    m_router.setConfiguration(configuration);
    m_quota.setConfiguration(configuration->set);
    m_upstream->onConfiguration(configuration);
    m_moves->onConfiguration(configuration);
    m_metrics.setConfigurationOffset(configuration->stamp.offset);
    m_events.record(Event(event::configurationInForce)
                        .with("offset", configuration->stamp.offset)
                        .with("digest", toHex(configuration->stamp.digest))
                        .with("source", m_readStamp == configuration->stamp ? "store" : "peer"));
}

void NodeAssembly::onView(const std::shared_ptr<const membership::MembershipView>& view)
{
    m_view = view;
    m_router.setMembership(view);
    m_ledger.setMembership(view);
    m_quota.setMembership(view);
    m_quarantine.setMembership(view);
    auto alive = aliveNodes(*view);
    m_metrics.setNodes(alive.size());
    m_router.setPolicy(entryPolicy(alive.size()));
    if (m_fleet)
        m_fleet->onView(*view);
    if (m_fleet) {
        m_fleet->moves().engine().onNodes(alive);
        m_fleet->moves().engine().onUpstreams(servingUpstreams(*view));
    }
    m_moves->engine().onNodes(std::move(alive));
}

void NodeAssembly::setOrdersKnown()
{
    if (std::exchange(m_ordersKnown, true))
        return;
    onReady(m_exchangeReady);
}

void NodeAssembly::onReady(bool exchangeReady)
{
    m_exchangeReady = exchangeReady;
    // A node that does not know the orders would send calls to versions that were taken back.
    const bool ready = exchangeReady && (!inFleet() || m_ordersKnown);
    if (m_ready == ready)
        return;
    m_ready = ready;
    m_router.setReady(ready);
    m_metrics.setReady(ready);
    m_events.record(Event(ready ? event::ready : event::notReady));
}

void NodeAssembly::onStep(const publication::AppliedRecord& step)
{
    m_checkpoints->onStep(step);
    m_metrics.onRecord(publication::toString(step.outcome));
    if (std::holds_alternative<publication::Accepted>(step.outcome) || std::holds_alternative<publication::CheckpointMatched>(step.outcome))
        return;
    const auto name = std::holds_alternative<publication::VerdictAccepted>(step.outcome) ? event::verdictRecorded : event::recordRejected;
    m_events.record(Event(name).with("offset", step.offset).with("outcome", publication::toString(step.outcome)));
}

void NodeAssembly::onBackend(const gateway::BackendObservation& observation)
{
    m_metrics.onBackend(observation);
    m_callLog.onBackend(observation);
    m_quarantine.onBackend(observation);
    if (m_fleet)
        m_fleet->moves().onBackend(m_upstream->service(), observation, m_controller.isCold());
    else
        m_moves->onBackend(m_upstream->service(), observation);
}

void NodeAssembly::scheduleTick()
{
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        recordDelay(std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicClock::now() - m_tick.expiry()));
        tick();
        scheduleTick();
    });
}

void NodeAssembly::recordDelay(std::chrono::milliseconds delay)
{
    m_metrics.setThreadDelay(delay);
    if (delay > recordedDelay)
        m_events.record(Event(event::threadDelayed).with("delayMs", delay));
}

void NodeAssembly::tick()
{
    m_upstream->onTick();
    if (m_fleet)
        m_fleet->onTick(MonotonicClock::now(), MonotonicClock::now() - m_peers->heardAt() > longestPeerSilence);
    m_metrics.setAdmission(m_controller.inFlight(), m_controller.waiting());
    m_linkLoad = m_gateway->linkLoad();
    m_metrics.setLink(m_linkLoad);
    m_metrics.setRateLimit(m_controller.reported().callsPerSecond());
    for (const auto& it : m_router.takeObservations())
        m_peers->reportCall(it.node, it.reachability == routing::NodeReachability::Answered);
    m_quarantine.onTick(m_controller);
    if (MonotonicClock::now() - m_slowTickAt >= slowTickInterval)
        slowTick();
}

void NodeAssembly::slowTick()
{
    m_slowTickAt = MonotonicClock::now();
    recordLinkLoad();
    m_metrics.setUpstream(m_controller.upstream());
    if (m_slowTickAt - m_startedAt >= longestWaitForOrders)
        setOrdersKnown();
    if (m_reader && m_reader->enabled() && m_view && !m_draining)
        m_checkpoints->onTick(m_reader->follower(), *m_view);
}

void NodeAssembly::recordLinkLoad()
{
    if (m_linkLoad.waiting == 0 && m_linkLoad.unacknowledgedBytes == 0)
        return;
    m_events.record(Event(event::linkLoaded)
                        .with("backlogMs", m_linkLoad.backlog)
                        .with("waiting", m_linkLoad.waiting)
                        .with("unacknowledgedBytes", m_linkLoad.unacknowledgedBytes));
}

void NodeAssembly::onSettingsRead(const NodeSettings& settings)
{
    m_settings.retries = settings.retries;
    m_settings.drain = settings.drain;
    m_settings.logLevel = settings.logLevel;
    m_router.setPolicy(entryPolicy(m_view ? aliveNodes(*m_view).size() : 1));
    m_events.record(Event(event::settingsReloaded)
                        .with("inForce", std::vector<std::string> { "drain", "log-level", "retries" })
                        .with("logLevel", toString(settings.logLevel)));
}

void NodeAssembly::onSettingsRefused(const SettingsFaults& faults)
{
    std::vector<std::string> lines;
    for (const auto& fault : faults.faults)
        lines.push_back(toString(fault));
    m_events.record(Event(event::settingsRefused).with("faults", lines));
}

void NodeAssembly::stop(std::function<void()> stopped)
{
    if (m_draining)
        return;
    m_draining = true;
    m_stopped = std::move(stopped);
    m_stoppingAt = MonotonicClock::now();
    m_events.record(Event(event::draining).with("inFlight", m_gateway->inFlight()));
    m_peers->leave();
    if (m_fleet)
        m_fleet->leave();
    m_gateway->perform(m_controller.drain(MonotonicClock::now()));
    m_drain.emplace(m_context.io, *m_gateway);
    m_drain->start(m_settings.drain, [this] { finishStop(); });
    m_router.setDrainDeadline(m_drain->drainDeadline());
}

void NodeAssembly::finishStop()
{
    const auto cut = m_gateway->cutCalls();
    m_events.record(Event(event::stopped)
                        .with("cut", cut.entered)
                        .with("cutForwarded", cut.forwarded)
                        .with("drainMs", MonotonicClock::now() - m_stoppingAt));
    m_tick.cancel();
    if (m_reader)
        m_reader->stop();
    if (m_fleet)
        m_fleet->stop();
    m_ledger.stop();
    m_quota.stop();
    m_moves->stop();
    m_peers->stop();
    m_admin->stop();
    m_gateway->stop();
    m_stopped();
}

}
