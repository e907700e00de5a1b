#include "LogService.h"

#include "carobpath/platform/Base64.h"
#include "carobpath/platform/RecordFrames.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace carobpath::standins {

namespace {

    constexpr std::uint64_t maximumWaitMs = 30'000;
    constexpr std::uint64_t defaultKilobytes = 1024;
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    constexpr std::uint64_t parts = 8;

    std::string errorBody(std::string_view error) { return nlohmann::json { { "error", error } }.dump(); }

    std::string pageBody(const LogPage& page)
    {
        platform::RawBatch batch { page.next, page.first, {} };
        for (const auto& record : page.records)
            batch.records.push_back(record.body);
        return platform::batchText(batch);
    }

    Response rawResponse(std::string body)
    {
        Response response { http::status::ok, 11 };
        response.set(http::field::content_type, "application/octet-stream");
        response.body() = std::move(body);
        return response;
    }

    /// \returns the topic with its partition, or nothing where the call names none.
    std::optional<std::string> topicOf(std::string_view target)
    {
        const auto topic = queryParameter(target, "topic");
        const auto part = queryNumber(target, "part", parts);
        if (!topic || topic->empty() || part >= parts)
            return std::nullopt;
        return part == 0 ? std::string { *topic } : std::string { *topic } + "/" + std::to_string(part);
    }

    std::optional<Producer> producerOf(std::string_view target)
    {
        const auto name = queryParameter(target, "producer");
        if (!name)
            return std::nullopt;
        return Producer { std::string { *name }, queryNumber(target, "epoch", 0), queryNumber(target, "seq", 0) };
    }

    std::optional<std::uint64_t> conditionOf(std::string_view target)
    {
        if (!queryParameter(target, "at"))
            return std::nullopt;
        return queryNumber(target, "at", 0);
    }

    /// Names the era in which the answer was made.
    Response stamped(Response response, std::uint64_t era)
    {
        response.set("Store-Era", std::to_string(era));
        return response;
    }

    Response appendResponse(const AppendReply& reply)
    {
        switch (reply.outcome) {
        case AppendOutcome::ConditionFailed:
            return jsonResponse(http::status::precondition_failed, nlohmann::json { { "end-offset", reply.end } }.dump());
        case AppendOutcome::Fenced:
            return jsonResponse(http::status::conflict, nlohmann::json { { "why", "fenced" } }.dump());
        case AppendOutcome::OutOfSequence:
            return jsonResponse(http::status::conflict, nlohmann::json { { "why", "seq" }, { "seq", reply.expectedSequence } }.dump());
        case AppendOutcome::Done:
            break;
        }
        return jsonResponse(http::status::ok, nlohmann::json { { "offset", reply.offset }, { "end-offset", reply.end } }.dump());
    }

}

LogService::LogService(StandinProcess& process, const tcp::endpoint& endpoint, std::chrono::milliseconds retention)
    : m_process(process)
    , m_store(retention)
    , m_server(process.context(), endpoint, [this](const Session& session) { handle(session); })
{
}

void LogService::handle(const Session& session)
{
    const auto path = pathOf(session->request().target());
    if (path == "/switches" || path == "/counts") {
        handleControl(session, path);
        return;
    }
    const auto topic = topicOf(session->request().target());
    const bool isKnown = path == "/v1/log-append" || path == "/v1/log-read" || path == "/v1/log-newest" || path == "/v1/log-trim";
    if (topic && isKnown)
        handleTopic(session, path, *topic);
    else
        session->respond(jsonResponse(http::status::not_found, errorBody("no such call")));
}

void LogService::handleControl(const Session& session, std::string_view path)
{
    if (path == "/counts") {
        const nlohmann::ordered_json counts { { "reads", m_reads }, { "appends", m_appends }, { "bytesRead", m_bytesRead }, { "waiting", m_waiters.size() } };
        session->respond(jsonResponse(http::status::ok, counts.dump()));
        return;
    }
    try {
        applySwitches(m_switches, session->request().body());
    } catch (const std::invalid_argument& e) {
        session->respond(jsonResponse(http::status::bad_request, errorBody(e.what())));
        return;
    }
    if (m_switches.retention.count() > 0)
        m_store.setRetention(m_switches.retention);
    m_process.events().record(Event(event::switched).with("switches", session->request().body()));
    if (m_switches.copyAge.count() > 0)
        comeBackFromCopy();
    if (m_switches.isDown || m_switches.areReadsDown)
        releaseAllWaiters();
    session->respond(jsonResponse(http::status::no_content, ""));
}

void LogService::handleTopic(const Session& session, std::string_view path, const std::string& topic)
{
    if (m_switches.isSilent)
        return;
    const bool isAppend = session->request().method() == http::verb::post;
    ++(isAppend ? m_appends : m_reads);
    if (m_switches.refusesAll) {
        respond(session, jsonResponse(http::status::too_many_requests, errorBody("too many calls")));
        return;
    }
    if (isDown(session)) {
        respond(session, jsonResponse(http::status::service_unavailable, errorBody("down")));
        return;
    }
    const auto delay = m_switches.latency + (isAppend ? appendDelay() : std::chrono::milliseconds(0));
    after(delay, [this, session, path = std::string { path }, topic] { perform(session, path, topic); });
}

void LogService::perform(const Session& session, const std::string& path, const std::string& topic)
{
    if (path == "/v1/log-append")
        append(session, topic);
    else if (path == "/v1/log-newest")
        listNewest(session, topic);
    else if (path == "/v1/log-trim")
        trim(session, topic);
    else
        read(session, topic);
}

void LogService::trim(const Session& session, const std::string& topic)
{
    m_store.trim(topic, queryNumber(session->request().target(), "trim-offset", 0));
    answer(session, jsonResponse(http::status::ok, "{}"));
}

void LogService::listNewest(const Session& session, const std::string& topic)
{
    const auto after = queryParameter(session->request().target(), "after").value_or("");
    const auto& newest = m_store.newest(topic);
    nlohmann::ordered_json body { { "items", nlohmann::ordered_json::array() }, { "has-more", false }, { "end-offset", m_store.end(topic) } };
    for (auto it = newest.upper_bound(std::string { after }); it != newest.end(); ++it) {
        if (body["items"].size() == LogStore::s_maximumPage) {
            body["has-more"] = true;
            break;
        }
        body["items"].push_back({ { "key", it->first }, { "value", platform::toBase64(it->second.value) }, { "offset", it->second.offset } });
    }
    answer(session, jsonResponse(http::status::ok, body.dump()));
}

bool LogService::isDown(const Session& session) const
{
    const bool isAppend = session->request().method() == http::verb::post;
    return m_switches.isDown || (isAppend ? m_switches.areAppendsDown : m_switches.areReadsDown);
}

std::chrono::milliseconds LogService::appendDelay()
{
    if (m_switches.appendsPerSecond == 0)
        return std::chrono::milliseconds(0);
    const auto now = MonotonicClock::now();
    m_nextAppendAt = std::max(now, m_nextAppendAt);
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(m_nextAppendAt - now);
    m_nextAppendAt += std::chrono::nanoseconds(std::chrono::seconds(1)) / m_switches.appendsPerSecond;
    return delay;
}

void LogService::append(const Session& session, const std::string& topic)
{
    const auto target = std::string(session->request().target());
    const auto records = platform::readRecords(session->request().body());
    const auto isTooLarge = [](const std::string& it) { return it.size() > LogStore::s_maximumRecordBytes; };
    if (!records || std::any_of(records->begin(), records->end(), isTooLarge)) {
        const auto status = records ? http::status::payload_too_large : http::status::bad_request;
        respond(session, jsonResponse(status, errorBody("no record")));
        return;
    }
    const auto reply = m_store.append(topic, *records, conditionOf(target), producerOf(target), MonotonicClock::now());
    const bool isAnswerLost = m_switches.answersLostAfterWrite > 0;
    m_process.events().record(Event(event::appended).with("stream", topic).with("offset", reply.offset).with("bytes", session->request().body().size()).with("isAnswerLost", isAnswerLost));
    wake(topic);
    if (isAnswerLost) {
        --m_switches.answersLostAfterWrite;
        session->abandon();
        return;
    }
    answer(session, appendResponse(reply));
}

void LogService::read(const Session& session, const std::string& topic)
{
    const auto target = std::string(session->request().target());
    const auto from = queryNumber(target, "from", 0);
    const auto bytes = static_cast<std::size_t>(queryNumber(target, "max-kilobytes", defaultKilobytes) * bytesPerKilobyte);
    const auto wait = std::chrono::milliseconds(std::min(queryNumber(target, "wait-ms", 0), maximumWaitMs));
    const auto result = m_store.read(topic, from, bytes, MonotonicClock::now());
    const auto* page = std::get_if<LogPage>(&result);
    if (!page || !page->records.empty() || wait.count() == 0) {
        answerRead(session, topic, from, bytes);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_process.context(), wait);
    const auto it = m_waiters.insert(m_waiters.end(), { session, topic, from, bytes, timer });
    session->onClosed([timer] { timer->cancel(); });
    // Cancelling the timer, by an append or a closed connection, ends the wait early.
    timer->async_wait([this, it](boost::system::error_code) {
        const Waiter waiter = *it;
        m_waiters.erase(it);
        if (waiter.isCut)
            waiter.session->abandon();
        else if (isDown(waiter.session))
            respond(waiter.session, jsonResponse(http::status::service_unavailable, errorBody("down")));
        else
            answerRead(waiter.session, waiter.topic, waiter.from, waiter.bytes);
    });
}

void LogService::answerRead(const Session& session, const std::string& topic, std::uint64_t from, std::size_t bytes)
{
    const auto result = m_store.read(topic, from, bytes, MonotonicClock::now());
    if (const auto* trimmed = std::get_if<LogTrimmed>(&result)) {
        answer(session, jsonResponse(http::status::gone, nlohmann::json { { "first-offset", trimmed->first } }.dump()));
        return;
    }
    auto body = pageBody(std::get<LogPage>(result));
    m_bytesRead += body.size();
    answer(session, rawResponse(std::move(body)));
}

void LogService::wake(const std::string& topic)
{
    for (const Waiter& waiter : m_waiters) {
        if (waiter.topic == topic)
            waiter.timer->cancel();
    }
}

void LogService::respond(const Session& session, Response response) const
{
    session->respond(stamped(std::move(response), m_era));
}

void LogService::comeBackFromCopy()
{
    m_store.forgetSince(MonotonicClock::now() - std::exchange(m_switches.copyAge, {}));
    ++m_era;
    for (Waiter& waiter : m_waiters)
        waiter.isCut = true;
    releaseAllWaiters();
}

void LogService::releaseAllWaiters()
{
    for (const Waiter& waiter : m_waiters)
        waiter.timer->cancel();
}

void LogService::answer(const Session& session, Response response)
{
    after(m_switches.slow, [session, response = stamped(std::move(response), m_era)] { session->respond(response); });
}

void LogService::after(std::chrono::milliseconds delay, std::function<void()> work)
{
    if (delay.count() == 0) {
        work();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_process.context(), delay);
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code) { work(); });
}

}
