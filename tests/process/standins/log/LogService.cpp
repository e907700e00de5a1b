#include "LogService.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace carobpath::standins {

namespace {

    constexpr std::string_view streamsPrefix = "/streams/";
    constexpr std::string_view recordsSuffix = "/records";
    constexpr std::uint64_t maximumWaitMs = 30'000;
    constexpr std::uint64_t defaultLimit = 256;

    std::string errorBody(std::string_view error) { return nlohmann::json { { "error", error } }.dump(); }

    std::optional<std::string> streamOf(std::string_view path)
    {
        const auto minimum = streamsPrefix.size() + recordsSuffix.size();
        if (!path.starts_with(streamsPrefix) || !path.ends_with(recordsSuffix) || path.size() <= minimum)
            return std::nullopt;
        return std::string(path.substr(streamsPrefix.size(), path.size() - minimum));
    }

    bool isUtf8(const std::string& text)
    {
        try {
            static_cast<void>(nlohmann::json(text).dump());
            return true;
        } catch (const nlohmann::json::exception&) {
            return false;
        }
    }

    std::string pageBody(const LogPage& page)
    {
        nlohmann::ordered_json body { { "first", page.first }, { "next", page.next }, { "records", nlohmann::ordered_json::array() } };
        for (const auto& record : page.records)
            body["records"].push_back({ { "offset", record.offset }, { "body", record.body } });
        return body.dump();
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
    if (const auto stream = streamOf(path))
        handleStream(session, *stream);
    else
        session->respond(jsonResponse(http::status::not_found, errorBody("no such stream")));
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
    if (m_switches.isDown || m_switches.areReadsDown)
        releaseAllWaiters();
    session->respond(jsonResponse(http::status::no_content, ""));
}

void LogService::handleStream(const Session& session, const std::string& stream)
{
    if (m_switches.isSilent)
        return;
    const bool isAppend = session->request().method() == http::verb::post;
    ++(isAppend ? m_appends : m_reads);
    if (isDown(session)) {
        session->respond(jsonResponse(http::status::service_unavailable, errorBody("down")));
        return;
    }
    const auto delay = m_switches.latency + (isAppend ? appendDelay() : std::chrono::milliseconds(0));
    after(delay, [this, session, stream, isAppend] { isAppend ? append(session, stream) : read(session, stream); });
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

void LogService::append(const Session& session, const std::string& stream)
{
    const std::string& body = session->request().body();
    if (body.size() > LogStore::s_maximumRecordBytes || !isUtf8(body)) {
        const auto status = isUtf8(body) ? http::status::payload_too_large : http::status::bad_request;
        session->respond(jsonResponse(status, errorBody("no record")));
        return;
    }
    const auto offset = m_store.append(stream, body, MonotonicClock::now());
    const bool isAnswerLost = m_switches.answersLostAfterWrite > 0;
    m_process.events().record(Event(event::appended).with("stream", stream).with("offset", offset).with("bytes", body.size()).with("isAnswerLost", isAnswerLost));
    wake(stream);
    if (isAnswerLost) {
        --m_switches.answersLostAfterWrite;
        session->abandon();
        return;
    }
    answer(session, jsonResponse(http::status::ok, nlohmann::json { { "offset", offset } }.dump()));
}

void LogService::read(const Session& session, const std::string& stream)
{
    const auto target = std::string(session->request().target());
    const auto from = queryNumber(target, "from", 0);
    const auto limit = static_cast<std::size_t>(queryNumber(target, "limit", defaultLimit));
    const auto wait = std::chrono::milliseconds(std::min(queryNumber(target, "wait_ms", 0), maximumWaitMs));
    const auto result = m_store.read(stream, from, limit, MonotonicClock::now());
    const auto* page = std::get_if<LogPage>(&result);
    if (!page || !page->records.empty() || wait.count() == 0) {
        answerRead(session, stream, from, limit);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_process.context(), wait);
    const auto it = m_waiters.insert(m_waiters.end(), { session, stream, from, limit, timer });
    session->onClosed([timer] { timer->cancel(); });
    // Cancelling the timer, by an append or a closed connection, ends the wait early.
    timer->async_wait([this, it](boost::system::error_code) {
        const Waiter waiter = *it;
        m_waiters.erase(it);
        if (isDown(waiter.session))
            waiter.session->respond(jsonResponse(http::status::service_unavailable, errorBody("down")));
        else
            answerRead(waiter.session, waiter.stream, waiter.from, waiter.limit);
    });
}

void LogService::answerRead(const Session& session, const std::string& stream, std::uint64_t from, std::size_t limit)
{
    const auto result = m_store.read(stream, from, limit, MonotonicClock::now());
    if (const auto* trimmed = std::get_if<LogTrimmed>(&result)) {
        answer(session, jsonResponse(http::status::gone, nlohmann::json { { "first", trimmed->first } }.dump()));
        return;
    }
    auto body = pageBody(std::get<LogPage>(result));
    m_bytesRead += body.size();
    answer(session, jsonResponse(http::status::ok, std::move(body)));
}

void LogService::wake(const std::string& stream)
{
    for (const Waiter& waiter : m_waiters) {
        if (waiter.stream == stream)
            waiter.timer->cancel();
    }
}

void LogService::releaseAllWaiters()
{
    for (const Waiter& waiter : m_waiters)
        waiter.timer->cancel();
}

void LogService::answer(const Session& session, Response response)
{
    after(m_switches.slow, [session, response = std::move(response)] { session->respond(response); });
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
