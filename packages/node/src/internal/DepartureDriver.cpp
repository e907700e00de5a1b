#include "internal/DepartureDriver.h"

#include "carobpath/foundation/EventNames.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace carobpath::node::Detail {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds initialRetryDelay { 100 };
    constexpr milliseconds maxRetryDelay { 1'500 };
    /// A backend server takes its leaving for acknowledged only if the answer comes within a second.
    constexpr milliseconds acknowledgeTimeout { 400 };
    /// The nodes that notice a return of the store together write their departures within this time.
    constexpr milliseconds recoverySpread { 500 };

    /// Stream with the run that left last beside each node, by the node's name.
    const std::string departureStream = "carobpath-departures";
    const std::string instanceField = "instance";
    const std::string startField = "started-at-ms";

}

std::string departureText(const membership::BackendRun& run)
{
    const auto startedAt = run.startedAt.value_or(WallTime {}).time_since_epoch();
    const nlohmann::json json { { instanceField, run.instance }, { startField, std::chrono::duration_cast<milliseconds>(startedAt).count() } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<membership::BackendRun> departureFromText(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains(instanceField) || !json.contains(startField))
        return std::nullopt;
    const auto& instance = json[instanceField];
    const auto& startedAt = json[startField];
    if (!instance.is_string() || !startedAt.is_number_integer())
        return std::nullopt;
    return membership::BackendRun { instance.get<std::string>(), WallTime { milliseconds { startedAt.get<std::int64_t>() } } };
}

DepartureDriver::DepartureDriver(NodeContext& context, platform::StoreClient& store, OnKnown onKnown)
    : m_context(context)
    , m_store(store)
    , m_onKnown(std::move(onKnown))
    , m_random(context.random())
    , m_listBackoff(initialRetryDelay, maxRetryDelay)
    , m_writeBackoff(initialRetryDelay, maxRetryDelay)
    , m_listTimer(context.io)
    , m_writeTimer(context.io)
    , m_acknowledgeTimer(context.io)
{
}

void DepartureDriver::stop()
{
    m_stopped = true;
    m_listTimer.cancel();
    m_writeTimer.cancel();
    m_acknowledgeTimer.cancel();
}

void DepartureDriver::after(boost::asio::steady_timer& timer, milliseconds delay, std::function<void()> action)
{
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), action = std::move(action)](boost::system::error_code ec) {
        if (!ec && !self->m_stopped)
            action();
    });
}

void DepartureDriver::list()
{
    m_store.listNewest(departureStream, [self = shared_from_this()](const publication::KeyedResult& result) {
        if (self->m_stopped)
            return;
        if (const auto* batch = std::get_if<publication::KeyedBatch>(&result)) {
            self->onListed(*batch);
            return;
        }
        if (const auto* failure = std::get_if<publication::LogFailure>(&result))
            self->fail("list", *failure);
        self->listAgain();
    });
}

void DepartureDriver::listAgain()
{
    after(m_listTimer, m_listBackoff.next(m_random), [this] { list(); });
}

void DepartureDriver::onListed(const publication::KeyedBatch& listing)
{
    std::vector<membership::BackendRun> departed;
    for (const auto& record : listing.records) {
        if (auto run = departureFromText(record.value.value_or(std::string {})))
            departed.push_back(std::move(*run));
    }
    m_onKnown(departed);
}

void DepartureDriver::record(const membership::BackendRun& run, std::function<void()> recorded)
{
    if (m_isRecorded && m_departed == run) {
        recorded();
        return;
    }
    m_waiting.push_back(std::move(recorded));
    acknowledgeAfterTimeout();
    if (m_departed == run)
        return;
    m_departed = run;
    m_isRecorded = false;
    m_writeTimer.cancel();
    write();
}

void DepartureDriver::onStoreReturned()
{
    if (!m_departed)
        return;
    m_isRecorded = false;
    std::uniform_int_distribution<std::int64_t> spread { 0, recoverySpread.count() };
    after(m_writeTimer, milliseconds { spread(m_random) }, [this] { write(); });
}

void DepartureDriver::write()
{
    const publication::KeyedRecord record { 0, m_context.settings.name.value(), departureText(*m_departed) };
    m_store.put(departureStream, record, std::nullopt, [self = shared_from_this(), run = *m_departed](const publication::AppendResult& result) {
        if (self->m_stopped || self->m_departed != run)
            return;
        const auto* failure = std::get_if<publication::LogFailure>(&result);
        if (!failure) {
            self->onWritten(run);
            return;
        }
        self->fail("write", *failure);
        self->writeAgain();
    });
}

void DepartureDriver::writeAgain()
{
    after(m_writeTimer, m_writeBackoff.next(m_random), [this] { write(); });
}

void DepartureDriver::onWritten(const membership::BackendRun& run)
{
    m_isRecorded = true;
    m_writeBackoff.reset();
    m_context.events.record(Event(event::departureRecorded).with("instance", run.instance));
    acknowledge();
}

void DepartureDriver::acknowledge()
{
    m_acknowledgeTimer.cancel();
    for (const auto& recorded : std::exchange(m_waiting, {}))
        recorded();
}

void DepartureDriver::acknowledgeAfterTimeout()
{
    if (m_waiting.size() == 1)
        after(m_acknowledgeTimer, acknowledgeTimeout, [this] { acknowledge(); });
}

void DepartureDriver::fail(std::string_view step, const publication::LogFailure& failure)
{
    m_context.events.record(Event(event::departureFailed)
                                .with("step", step)
                                .with("error", publication::toString(failure.error))
                                .with("status", failure.status));
}

}
