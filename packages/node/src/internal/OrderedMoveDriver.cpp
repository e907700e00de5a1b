#include "internal/OrderedMoveDriver.h"

#include "internal/MoveLog.h"

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds tickInterval { 100 };
    constexpr milliseconds statusPoll { 20'000 };
    const std::string statusStream { platform::statusStream };
    /// Records of the stream of states that are read again where the newest state of a move is missing.
    constexpr publication::Offset historyRecords = 256;

    /// \returns what the call says of the version: a lost connection speaks of an instance, and a refusal of load.
    std::optional<moves::CallResult> callResultOf(routing::BackendResult result)
    {
        switch (result) {
        case routing::BackendResult::Answered:
            return moves::CallResult::Succeeded;
        case routing::BackendResult::ServerError:
        case routing::BackendResult::TimedOut:
            return moves::CallResult::Failed;
        case routing::BackendResult::Refused:
            return moves::CallResult::Refused;
        case routing::BackendResult::ConnectFailed:
        case routing::BackendResult::ConnectionLost:
        case routing::BackendResult::Cancelled:
            return std::nullopt;
        }
        return std::nullopt;
    }

}

OrderedMoveDriver::OrderedMoveDriver(NodeContext& context, platform::StoreClient& store, std::function<void()> onNotice, StreamHooks statusHooks)
    : m_context(context)
    , m_store(store)
    , m_onNotice(std::move(onNotice))
    , m_statusHooks(std::move(statusHooks))
    , m_engine(context.settings.name, context.incarnation, moves::ExposureBound { context.settings.exposure.part, context.settings.exposure.slack })
    , m_timer(context.io)
{
}

void OrderedMoveDriver::start() { schedule(); }

void OrderedMoveDriver::stop()
{
    m_stopped = true;
    m_timer.cancel();
    if (m_reader)
        m_reader->stop();
}

bool OrderedMoveDriver::onOrder(const publication::KeyedRecord& record)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(order, platform::readMoveOrder(record));
            m_orders.insert_or_assign(order.service, order);
            followStatus();
            if (m_statusKnown)
                takeOrder(order);
            else
                m_engine.addPendingOrder(order);
            return true;
        },
        [&](const platform::DocumentFault& fault) {
            m_context.events.record(Event(event::orderRefused)
                                        .with("key", record.key)
                                        .with("offset", record.offset)
                                        .with("fault", platform::toString(fault.kind))
                                        .with("field", fault.field));
            return false;
        },
        [&] {
            m_context.events.record(Event(event::orderRefused).with("key", record.key));
            return false;
        });
}

void OrderedMoveDriver::takeOrder(const moves::MoveOrder& order)
{
    milliseconds age { 0 };
    const auto stored = m_stored.find(order.service);
    if (stored != m_stored.end() && moves::isStatusOf(stored->second.status, order))
        age = std::clamp<milliseconds>(wallNow() - stored->second.orderedAt, milliseconds { 0 }, order.duration);
    m_engine.onOrder(order, age, MonotonicClock::now());
    m_context.events.record(Event(event::moveOrdered)
                                .with("service", order.service)
                                .with("to", order.to)
                                .with("offset", order.offset)
                                .with("durationMs", order.duration)
                                .with("ageMs", age));
}

void OrderedMoveDriver::followStatus()
{
    if (m_reader || m_stopped)
        return;
    m_reader = std::make_shared<Reader>(m_context.io, m_store, statusStream, statusPoll, readerHooks(), m_context.random());
    m_reader->setCheckSchedule(m_checkSchedule);
    m_reader->start();
}

void OrderedMoveDriver::setCheckSchedule(const std::optional<publication::CheckSchedule>& schedule)
{
    m_checkSchedule = schedule;
    if (m_reader)
        m_reader->setCheckSchedule(schedule);
}

void OrderedMoveDriver::onEra(publication::StoreEra era)
{
    if (m_reader)
        m_reader->onEra(era);
}

void OrderedMoveDriver::onStatusEndKnown(publication::StreamPosition end)
{
    if (m_reader)
        m_reader->onEndKnown(end);
}

KeyedReaderHooks OrderedMoveDriver::readerHooks()
{
    KeyedReaderHooks hooks;
    hooks.stream = m_statusHooks;
    hooks.onRecord = [this](const publication::KeyedRecord& record) { return onStatusRecord(record); };
    hooks.onEnd = [this] { onStatusListed(); };
    hooks.onAvailable = [](bool, const publication::LogFailure&) {
        // The reader of the operator's stream reports the same store.
    };
    return hooks;
}

std::optional<platform::StoredMoveStatus> OrderedMoveDriver::readStatus(const publication::KeyedRecord& record)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<platform::StoredMoveStatus>> {
            BOOST_LEAF_AUTO(stored, platform::readMoveStatus(record));
            return std::optional { std::move(stored) };
        },
        [&](const platform::DocumentFault& fault) -> std::optional<platform::StoredMoveStatus> {
            m_context.events.record(Event(event::recordRejected)
                                        .with("key", record.key)
                                        .with("offset", record.offset)
                                        .with("outcome", platform::toString(fault.kind)));
            return std::nullopt;
        },
        [&]() -> std::optional<platform::StoredMoveStatus> {
            m_context.events.record(Event(event::recordRejected).with("key", record.key));
            return std::nullopt;
        });
}

void OrderedMoveDriver::onStatus(const platform::StoredMoveStatus& stored)
{
    auto& known = m_stored.try_emplace(stored.status.service, stored).first->second;
    if (stored.status.order >= known.status.order)
        known = stored;
    m_engine.onStatus(stored.status);
    m_context.events.record(Event(event::moveRecorded)
                                .with("service", stored.status.service)
                                .with("to", stored.status.to)
                                .with("order", stored.status.order)
                                .with("state", toString(stored.status.state)));
}

void OrderedMoveDriver::onStatusListed()
{
    if (m_statusKnown || m_isReadingHistory)
        return;
    if (!lacksStatus()) {
        onStatusKnown();
        return;
    }
    m_isReadingHistory = true;
    const auto end = m_reader->position().offset;
    readStatusHistory(end - std::min(end, historyRecords));
}

bool OrderedMoveDriver::lacksStatus() const
{
    return std::any_of(m_orders.begin(), m_orders.end(), [this](const auto& it) {
        const auto stored = m_stored.find(it.first);
        return stored != m_stored.end() && stored->second.status.order < it.second.offset;
    });
}

void OrderedMoveDriver::readStatusHistory(publication::Offset from)
{
    m_store.readKeyed(statusStream, from, milliseconds { 0 }, [self = shared_from_this(), from](const publication::KeyedResult& result) {
        if (self->m_stopped)
            return;
        const auto* trimmed = std::get_if<publication::Trimmed>(&result);
        if (trimmed && trimmed->first > from) {
            self->readStatusHistory(trimmed->first);
            return;
        }
        if (const auto* batch = std::get_if<publication::KeyedBatch>(&result)) {
            for (const auto& record : batch->records)
                self->onStatusRecord(record);
        }
        self->onStatusKnown();
    });
}

void OrderedMoveDriver::onStatusKnown()
{
    m_statusKnown = true;
    for (const auto& [service, order] : m_orders)
        takeOrder(order);
}

bool OrderedMoveDriver::onStatusRecord(const publication::KeyedRecord& record)
{
    if (!platform::isMoveKey(record.key) || !record.value)
        return true;
    const auto stored = readStatus(record);
    if (stored)
        onStatus(*stored);
    return stored.has_value();
}

std::optional<moves::MoveStatus> OrderedMoveDriver::heldStatus(const publication::KeyedBatch& listing, const ServiceName& service)
{
    const auto key = platform::moveKey(service);
    const auto record = std::find_if(listing.records.begin(), listing.records.end(), [&](const auto& it) { return it.key == key; });
    const auto stored = record != listing.records.end() ? readStatus(*record) : std::nullopt;
    if (!stored)
        return std::nullopt;
    onStatus(*stored);
    return stored->status;
}

void OrderedMoveDriver::onBackend(const ServiceName& service, const gateway::BackendObservation& observation, bool isCold)
{
    const auto result = callResultOf(observation.result);
    if (!result)
        return;
    std::optional<std::chrono::nanoseconds> latency;
    if (!isCold)
        latency = observation.latency;
    m_engine.observe(service, observation.route, observation.version, *result, latency, MonotonicClock::now());
}

void OrderedMoveDriver::schedule()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_stopped)
            return;
        self->tick();
        self->schedule();
    });
}

void OrderedMoveDriver::tick()
{
    const auto now = MonotonicClock::now();
    if (m_reader)
        m_reader->onTick(now);
    for (const auto& command : m_engine.tick(now))
        std::visit([this](const auto& it) { perform(it); }, command);
}

void OrderedMoveDriver::perform(const moves::WriteStatus& command)
{
    recordStateRequested(m_context.events, command);
    m_store.listNewest(statusStream, [self = shared_from_this(), status = command.status](const publication::KeyedResult& result) {
        if (const auto* listing = std::get_if<publication::KeyedBatch>(&result))
            self->writeAfter(*listing, status);
        else if (const auto* failure = std::get_if<publication::LogFailure>(&result))
            self->reportFailure(status, *failure);
    });
}

void OrderedMoveDriver::writeAfter(const publication::KeyedBatch& listing, moves::MoveStatus status)
{
    const auto held = heldStatus(listing, status.service);
    if (!m_engine.isCurrent(status) || (held && !moves::mayReplace(*held, status))) {
        recordState(m_context.events, event::moveStateStoodBack, status, held);
        return;
    }
    // The listing may tell the end of the move before this one, which was not read here yet.
    status.versions = m_engine.versionsOf(status);
    // The order's age is known also where the store lost the state that told it.
    auto orderedAt = wallNow();
    const moves::MoveOrder order { status.service, status.to, {}, status.order };
    if (const auto stored = m_stored.find(status.service); stored != m_stored.end() && moves::isStatusOf(stored->second.status, order))
        orderedAt = stored->second.orderedAt;
    const publication::KeyedRecord written { 0, platform::moveKey(status.service), platform::writeMoveStatus({ status, orderedAt }) };
    m_store.put(statusStream, written, listing.end(), [self = shared_from_this(), status, held, era = listing.era](const publication::AppendResult& result) {
        if (const auto* failure = std::get_if<publication::LogFailure>(&result)) {
            self->reportFailure(status, *failure);
            return;
        }
        recordState(self->m_context.events, event::moveStateWritten, status, held);
        if (std::get<publication::Appended>(result).era == era)
            self->m_engine.onStatus(status);
    });
}

void OrderedMoveDriver::reportFailure(const moves::MoveStatus& status, const publication::LogFailure& failure)
{
    m_context.events.record(Event(event::moveRecordFailed)
                                .with("service", status.service)
                                .with("state", toString(status.state))
                                .with("error", publication::toString(failure.error))
                                .with("status", failure.status));
}

void OrderedMoveDriver::perform(const moves::BroadcastNotice& command)
{
    recordTakenBack(m_context.events, command.notice);
    m_onNotice();
}

void OrderedMoveDriver::perform(const moves::TrafficSplitChanged& command)
{
    recordShare(m_context.events, command);
}

}
