// The hooks through which the parts of a node reach each other.
#include "internal/NodeAssembly.h"

#include "carobpath/foundation/EventNames.h"
#include "carobpath/publication/Codec.h"
#include "internal/SettingsConversions.h"
#include "internal/StatusJson.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    peer::HybridTime toPeer(const HybridTime& time)
    {
        return peer::HybridTime { static_cast<std::uint64_t>(time.wall.time_since_epoch().count()), time.counter };
    }

    HybridTime fromPeer(const peer::HybridTime& time)
    {
        return HybridTime { WallTime { std::chrono::milliseconds { static_cast<std::int64_t>(time.milliseconds) } }, time.counter };
    }

}

platform::StoreClientOptions NodeAssembly::storeOptions()
{
    auto options = storeOptionsOf(m_settings);
    options.onCall = [this](const platform::StoreCall& call) { m_metrics.onStoreCall(call); };
    options.onEraChange = [this](const platform::StoreEraChange& change) {
        // The answer that showed the change goes to its reader first.
        boost::asio::post(m_context.io, [this, change] {
            if (m_fleet)
                m_fleet->onStoreReturned(change);
        });
    };
    return options;
}

FleetHooks NodeAssembly::fleetHooks()
{
    FleetHooks hooks;
    hooks.onConfiguration = [this](const publication::ConfigurationPointer& it, const auto& span) { onConfigurationRead(it, span); };
    hooks.onStoreRead = [this] {
        m_peers->reportLogEnd();
        setOrdersKnown();
    };
    hooks.onPeersFound = [this](const std::vector<Endpoint>& peers) { m_peers->introduce(peers); };
    hooks.ready = [this] { return serving(); };
    hooks.onNotice = [this] { m_peers->notifyEvidence(); };
    hooks.onStoreAvailable = [this](bool available) { m_metrics.setLogAvailable(available); };
    hooks.onStreamEnd = [this](const distribution::StreamEnd& reached) { m_peers->reportStreamEnd(reached); };
    return hooks;
}

gateway::GatewayHooks NodeAssembly::gatewayHooks()
{
    gateway::GatewayHooks hooks;
    hooks.claimKey = [this](const auto& await, const auto& request, auto handler) { m_ledger.claim(await, request, std::move(handler)); };
    hooks.endKey = [this](const auto& key, const auto& route, const auto& request, auto outcome) { m_ledger.end(key, route, request, outcome); };
    hooks.takeQuota = [this](const auto& await, auto handler) { m_quota.take(await, std::move(handler)); };
    hooks.giveBackQuota = [this](const auto& workspace) { m_quota.giveBack(workspace); };
    hooks.onBackend = [this](const auto& observation) { onBackend(observation); };
    hooks.onBackendCrash = [this](auto told) { m_quarantine.takeCrashes(m_controller, std::move(told)); };
    hooks.hybridNow = [this] { return toString(m_clock.tick(wallNow())); };
    hooks.onHybridTime = [this](std::string_view text) {
        if (const auto time = hybridTimeFromText(text))
            m_clock.observe(*time, wallNow());
    };
    hooks.onCall = [this](const auto& call) {
        m_metrics.onCall(call);
        m_callLog.onCall(call);
        if (call.innerCallEnd)
            m_innerCalls->onEnded(*call.innerCallEnd, MonotonicClock::now());
    };
    hooks.onAttempt = [this](const auto& attempt) {
        m_metrics.onAttempt(attempt);
        m_callLog.onAttempt(attempt);
    };
    hooks.onAdmissionRefused = [this](const auto& refusal) {
        m_metrics.onAdmissionRefused(refusal);
        m_callLog.onAdmissionRefused(refusal);
    };
    hooks.onBackendReport = [this](const auto& report) { m_callLog.onBackendReport(report); };
    hooks.onRequestShed = [this] { m_metrics.onRequestShed(); };
    hooks.onRequestsDropped = [this](std::size_t n) { m_metrics.onRequestsDropped(n); };
    return hooks;
}

LogReaderHooks NodeAssembly::readerHooks()
{
    LogReaderHooks hooks;
    hooks.onStep = [this](const publication::AppliedRecord& step) { onStep(step); };
    hooks.onStart = [this](const publication::CheckpointMatched& start) { m_checkpoints->onRecovered(start); };
    hooks.onEnd = [this](const publication::ConfigurationPointer& configuration) {
        if (configuration)
            onConfigurationRead(configuration, std::nullopt);
        m_peers->reportLogEnd();
    };
    hooks.onAvailable = [this](bool available) {
        m_metrics.setLogAvailable(available);
        m_events.record(Event(available ? event::logAvailable : event::logUnavailable));
    };
    return hooks;
}

peer::RunnerCallbacks NodeAssembly::peerCallbacks()
{
    peer::RunnerCallbacks callbacks;
    callbacks.onConfiguration = [this](const publication::ConfigurationPointer& it) { onConfiguration(it); };
    callbacks.onView = [this](const auto& view) { onView(view); };
    callbacks.onReaderRole = [this](bool reader) {
        m_metrics.setReader(reader);
        if (m_reader)
            m_reader->setEnabled(reader);
    };
    callbacks.onReady = [this](bool ready) { onReady(ready); };
    callbacks.onStreamAdvanced = [this](const distribution::StreamEnd& reached) {
        if (m_fleet)
            m_fleet->onStreamAdvanced(reached);
    };
    callbacks.onRecordsForwarded = [this](const publication::RecordSpan& span) {
        if (m_fleet)
            m_fleet->onRecordsForwarded(span);
    };
    callbacks.onRecordsAdopted = [this](const publication::RecordSpan& span) {
        if (m_fleet)
            m_fleet->onRecordsAdopted(span);
    };
    callbacks.onFetchEnded = [this](const peer::EndedFetch& it) {
        m_events.record(Event(event::stateFetched).with("peer", it.peer).with("succeeded", it.succeeded).with("openMs", it.took));
    };
    callbacks.onClaim = [this](const peer::ClaimRequest& request, peer::ClaimReply reply) { m_ledger.onPeerClaim(request, std::move(reply)); };
    callbacks.onEndClaim = [this](const peer::EndRequest& request) { m_ledger.onPeerEnd(request); };
    callbacks.onCrashes = [this](const routing::CrashUpdate& update) { m_quarantine.onPeerUpdate(update); };
    callbacks.onUsage = [this](const quota::UsageMessage& usage, peer::UsageReply reply) { m_quota.onPeerUsage(usage, std::move(reply)); };
    callbacks.onMalformed = [this](peer::MessageError error) { m_logger.warn("refused a peer's message: " + std::string { peer::toString(error.fault) }); };
    callbacks.answerTimes = [this] { return m_router.localTimes(MonotonicClock::now()); };
    callbacks.onAnswerTimes = [this](const NodeName& from, const auto& times) { onAnswerTimes(from, times); };
    callbacks.hybridNow = [this] { return toPeer(m_clock.tick(wallNow())); };
    callbacks.onHybridTime = [this](peer::HybridTime time) { m_clock.observe(fromPeer(time), wallNow()); };
    return callbacks;
}

void NodeAssembly::onAnswerTimes(const NodeName& from, const std::vector<membership::AnswerTime>& times)
{
    if (!m_view)
        return;
    const auto isSender = [&](const membership::KnownNode& it) { return it.entry.name == from; };
    const auto sender = std::find_if(m_view->nodes.begin(), m_view->nodes.end(), isSender);
    if (sender != m_view->nodes.end() && sender->entry.domain != m_settings.failureDomain)
        m_router.onRemoteTimes(times, MonotonicClock::now());
}

AdminSources NodeAssembly::adminSources()
{
    AdminSources sources;
    sources.ready = [this] { return serving(); };
    sources.status = [this] { return status(); };
    sources.objects = [this] { return m_configuration ? std::optional { publication::encode(m_configuration->set) } : std::nullopt; };
    sources.move = [this](const std::string& name) -> std::optional<std::string> {
        const auto report = m_moves->engine().report(MoveName { name }, NodeContext::now());
        return report ? std::optional { moves::toJson(*report) } : std::nullopt;
    };
    sources.quotas = [this] { return m_quota.statusJson(); };
    sources.metrics = [this] {
        m_metrics.setHeldBytes(m_gateway ? m_gateway->heldBytes() : 0);
        return m_metrics.text();
    };
    sources.announce = [this](std::string_view body) -> Result<void> {
        BOOST_LEAF_AUTO(announcement, parseAnnouncement(body));
        m_upstream->onAnnouncement(announcement);
        return {};
    };
    return sources;
}

std::string NodeAssembly::status() const
{
    NodeStatus status;
    status.settings = &m_settings;
    status.incarnation = m_incarnation;
    status.ready = m_ready;
    status.draining = m_draining;
    status.reader = m_reader && m_reader->enabled();
    status.configuration = m_configuration;
    status.view = m_view;
    status.share = [this](const ServiceName& service) { return shareOf(service); };
    return statusJson(status);
}

}
