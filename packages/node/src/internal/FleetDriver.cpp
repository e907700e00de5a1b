#include "internal/FleetDriver.h"

#include "carobpath/distribution/ReaderElection.h"
#include "carobpath/platform/AnnouncementDocument.h"
#include "carobpath/platform/ConfigurationDocument.h"
#include "carobpath/platform/FleetDialect.h"

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    constexpr std::chrono::milliseconds longPoll { 28'000 };
    /// Time between two checks of a stream by the whole fleet: a small part of the time within which a change is to be in
    /// force.
    constexpr std::chrono::milliseconds fleetCheckInterval { 500 };
    constexpr double bytesPerMegabyte = 1e6;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusUnavailable = 503;

    /// \returns when the node checks the streams; nothing if it is not one of those that do.
    std::optional<publication::CheckSchedule> checkScheduleIn(const membership::MembershipView& view, const NodeName& node)
    {
        const auto readers = distribution::logReaders(view);
        const auto self = std::find_if(readers.begin(), readers.end(), [&](const auto* it) { return it->entry.name == node; });
        if (self == readers.end())
            return std::nullopt;
        const auto turn = self - readers.begin() + 1;
        return publication::CheckSchedule { fleetCheckInterval * readers.size(), fleetCheckInterval * turn };
    }

    std::size_t aliveNodes(const membership::MembershipView& view)
    {
        return static_cast<std::size_t>(std::count_if(view.nodes.begin(), view.nodes.end(), [](const auto& it) { return it.liveness == membership::Liveness::Alive; }));
    }

    gateway::AdminResponse answer(unsigned status)
    {
        return gateway::AdminResponse { status, "application/json", "{}" };
    }

}

FleetDriver::FleetDriver(NodeContext& context, platform::StoreClient& store, UpstreamDriver& upstream, FleetHooks hooks)
    : m_context(context)
    , m_store(store)
    , m_upstream(upstream)
    , m_hooks(std::move(hooks))
    , m_departures(std::make_shared<DepartureDriver>(context, m_store, [this](const auto& departed) { m_upstream.onDepartures(departed); }))
    , m_moves(std::make_shared<OrderedMoveDriver>(context, m_store, m_hooks.onNotice, streamHooks(platform::statusStream)))
{
}

Result<void> FleetDriver::listen()
{
    const auto& addresses = m_context.settings.listen;
    if (addresses.readiness) {
        BOOST_LEAF_AUTO(server, gateway::AdminServer::listen(m_context.io, *addresses.readiness, [this](const auto& request) { return answerReadiness(request); }));
        m_readiness.emplace(std::move(server));
    }
    if (addresses.announcements) {
        BOOST_LEAF_AUTO(server, gateway::AdminServer::listenDeferred(m_context.io, *addresses.announcements, [this](const auto& request, const auto& reply) { answerAnnouncement(request, reply); }));
        m_announcements.emplace(std::move(server));
    }
    return {};
}

void FleetDriver::start(const Endpoint& peer)
{
    m_reader = std::make_shared<Reader>(m_context.io, m_store, std::string { platform::operatorStream }, longPoll, readerHooks(), m_context.random());
    m_directory = std::make_shared<DirectoryDriver>(m_context, m_store, peer, m_hooks.onPeersFound);
    m_reader->setCheckSchedule(m_checkSchedule);
    m_reader->setDeliveryTimeout(m_deliveryTimeout);
    m_upstream.awaitDepartures();
    m_departures->start();
    m_reader->start();
    m_directory->start();
    m_moves->start();
}

void FleetDriver::leave()
{
    m_directory->leave();
}

void FleetDriver::stop()
{
    m_reader->stop();
    m_directory->stop();
    m_departures->stop();
    m_moves->stop();
    if (m_readiness)
        m_readiness->stop();
    if (m_announcements)
        m_announcements->stop();
}

std::optional<std::chrono::milliseconds> FleetDriver::orderAge() const
{
    return m_reader ? m_reader->answerAge(MonotonicClock::now()) : std::nullopt;
}

void FleetDriver::onView(const membership::MembershipView& view)
{
    m_checkSchedule = checkScheduleIn(view, m_context.settings.name);
    m_moves->setCheckSchedule(m_checkSchedule);
    const auto readRate = m_context.settings.log.readMegabytes * bytesPerMegabyte;
    m_deliveryTimeout = publication::ReadWatchdog::deliveryTimeoutFor(aliveNodes(view), readRate);
    if (!m_reader)
        return;
    m_isPollingNode = isPollingNodeIn(view);
    m_directory->onView(view);
    m_reader->setCheckSchedule(m_checkSchedule);
    m_reader->setDeliveryTimeout(m_deliveryTimeout);
}

bool FleetDriver::isPollingNodeIn(const membership::MembershipView& view) const
{
    const auto& settings = m_context.settings;
    const distribution::StoreLoad load { settings.log.readMegabytes * bytesPerMegabyte, m_configurationBytes };
    return distribution::isPollingNode(view, settings.name, settings.failureDomain, load);
}

void FleetDriver::onTick(MonotonicTime now, bool isIsolated)
{
    m_reader->setPolling(m_isPollingNode || isIsolated);
    m_reader->onTick(now);
}

void FleetDriver::onStreamAdvanced(const distribution::StreamEnd& reached)
{
    if (reached.stream == platform::operatorStream && m_reader) {
        recordStreamAhead(reached);
        m_reader->onEndKnown(reached.end);
    }
    if (reached.stream == platform::statusStream)
        m_moves->onStatusEndKnown(reached.end);
}

void FleetDriver::onRecordsForwarded(const publication::RecordSpan& span)
{
    if (m_reader)
        m_reader->onForwarded(span);
}

void FleetDriver::onRecordsAdopted(const publication::RecordSpan& span)
{
    m_adoptedEnd = std::max(m_adoptedEnd, publication::StreamPosition { span.era, span.end });
    if (m_reader)
        m_reader->skip(std::string { platform::configurationKey }, span);
}

void FleetDriver::recordStreamAhead(const distribution::StreamEnd& reached)
{
    if (reached.end <= m_reader->position())
        return;
    m_context.events.record(Event(event::streamAhead)
                                .with("stream", reached.stream)
                                .with("end", reached.end.offset)
                                .with("offset", m_reader->position().offset));
}

void FleetDriver::onStoreReturned(const platform::StoreEraChange& change)
{
    m_context.events.record(Event(event::storeReturned).with("from", change.before.number).with("to", change.now.number));
    if (m_reader)
        m_reader->onEra(change.now);
    if (m_directory)
        m_directory->onStoreReturned();
    m_departures->onStoreReturned();
    m_moves->onEra(change.now);
}

StreamHooks FleetDriver::streamHooks(std::string_view stream)
{
    StreamHooks hooks;
    hooks.onPosition = [this, name = std::string { stream }](publication::StreamPosition end) { m_hooks.onStreamEnd({ name, end }); };
    hooks.onEndChecked = hooks.onPosition;
    hooks.onReadAbandoned = [this, name = std::string { stream }](const AbandonedRead& read) {
        m_context.events.record(Event(event::readAbandoned)
                                    .with("stream", name)
                                    .with("offset", read.from.offset)
                                    .with("end", read.knownEnd.offset)
                                    .with("era", read.knownEnd.era.number)
                                    .with("openMs", read.open));
    };
    hooks.onReadFailed = [this, name = std::string { stream }](const FailedRead& read) {
        m_context.events.record(Event(event::readFailed)
                                    .with("stream", name)
                                    .with("kind", publication::toString(read.kind))
                                    .with("error", publication::toString(read.failure.error))
                                    .with("status", read.failure.status)
                                    .with("openMs", read.open));
    };
    hooks.onSkipped = [this, name = std::string { stream }](std::size_t count) {
        m_context.events.record(Event(event::entriesSkipped).with("stream", name).with("count", count));
    };
    return hooks;
}

KeyedReaderHooks FleetDriver::readerHooks()
{
    KeyedReaderHooks hooks;
    hooks.stream = streamHooks(platform::operatorStream);
    hooks.onRecord = [this](const publication::KeyedRecord& record) { return onOrder(record); };
    hooks.onEnd = [this] { m_hooks.onStoreRead(); };
    hooks.onAvailable = [this](bool available, const publication::LogFailure& failure) {
        m_hooks.onStoreAvailable(available);
        Event it(available ? event::logAvailable : event::logUnavailable);
        if (!available)
            it.with("error", publication::toString(failure.error)).with("status", failure.status);
        m_context.events.record(it);
    };
    return hooks;
}

bool FleetDriver::onOrder(const publication::KeyedRecord& record)
{
    if (!record.value)
        return true;
    if (platform::isMoveKey(record.key))
        return m_moves->onOrder(record);
    return record.key != platform::configurationKey || onConfigurationRecord(record);
}

bool FleetDriver::onConfigurationRecord(const publication::KeyedRecord& record)
{
    if (publication::StreamPosition { record.era, record.offset } < m_adoptedEnd)
        return true;
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            const auto read = m_reader->answeredRead();
            const auto begunAt = MonotonicClock::now();
            BOOST_LEAF_AUTO(configuration, m_configurations.read(*record.value));
            m_configurationBytes = record.value->size();
            m_hooks.onConfiguration(configuration, m_reader->spanOf(record.key));
            const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicClock::now() - begunAt);
            recordConfigurationRead(read, *configuration, record.value->size(), took);
            return true;
        },
        [&](const platform::DocumentFault& fault) {
            m_context.events.record(Event(event::configurationRefused)
                                        .with("offset", record.offset)
                                        .with("fault", platform::toString(fault.kind))
                                        .with("field", fault.field));
            return false;
        },
        [&] {
            m_context.events.record(Event(event::configurationRefused).with("offset", record.offset));
            return false;
        });
}

void FleetDriver::recordConfigurationRead(const AnsweredRead& read, const publication::ConfigurationVersion& configuration, std::size_t bytes, std::chrono::milliseconds applying)
{
    Event it(event::configurationRead);
    it.with("offset", configuration.stamp.offset)
        .with("kind", publication::toString(read.kind))
        .with("bytes", bytes)
        .with("openMs", read.open)
        .with("applyingMs", applying);
    if (read.arriving)
        it.with("arrivingMs", *read.arriving);
    if (read.behind)
        it.with("behindMs", *read.behind);
    m_context.events.record(it);
}

gateway::AdminResponse FleetDriver::answerReadiness(const gateway::AdminRequest& request) const
{
    if (request.target != platform::readinessTarget)
        return answer(statusNotFound);
    return answer(m_hooks.ready() ? statusOk : statusUnavailable);
}

void FleetDriver::answerAnnouncement(const gateway::AdminRequest& request, const gateway::AdminServer::Reply& reply)
{
    const auto instance = platform::instanceOfTarget(request.target);
    const bool departs = request.method == "DELETE";
    if (!instance || (!departs && request.method != "PUT")) {
        reply(answer(statusNotFound));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Result<void> { return departs ? depart(*instance, request.body, reply) : announce(*instance, request.body, reply); },
        [&](const platform::DocumentFault& fault) {
            m_context.events.record(Event(event::announcementRefused)
                                        .with("instance", *instance)
                                        .with("fault", platform::toString(fault.kind))
                                        .with("field", fault.field));
            reply(answer(statusBadRequest));
        },
        [&] { reply(answer(statusBadRequest)); });
}

Result<void> FleetDriver::announce(const std::string& instance, const std::string& body, const gateway::AdminServer::Reply& reply)
{
    BOOST_LEAF_AUTO(announcement, platform::readAnnouncement(instance, body));
    const auto verdict = m_upstream.onAnnouncement(announcement);
    const bool isRefused = verdict == AnnouncementVerdict::Late || verdict == AnnouncementVerdict::Foreign;
    if (!isRefused && announcement.upstream.state == membership::UpstreamState::Draining)
        acknowledgeLeaving({ instance, announcement.run.startedAt.value_or(wallNow()) }, reply);
    else
        reply(answer(isRefused ? statusConflict : statusOk));
    return {};
}

Result<void> FleetDriver::depart(const std::string& instance, const std::string& body, const gateway::AdminServer::Reply& reply)
{
    BOOST_LEAF_AUTO(run, platform::readDeparture(instance, body));
    // A run that is not held is gone already, which is what the caller wants.
    acknowledgeLeaving(m_upstream.onDeparture(run), reply);
    return {};
}

void FleetDriver::acknowledgeLeaving(const membership::BackendRun& run, const gateway::AdminServer::Reply& reply)
{
    m_departures->record(run, [reply] { reply(answer(statusOk)); });
}

}
