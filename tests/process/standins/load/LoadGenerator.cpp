#include "LoadGenerator.h"

namespace carobpath::standins {

namespace {

    constexpr EventName callEvent { "call" };

}

LoadGenerator::LoadGenerator(StandinProcess& process, LoadShape shape, LoadMix mix)
    : m_process(process)
    , m_shape(std::move(shape))
    , m_mix(std::move(mix))
    , m_random(m_shape.seed)
    , m_timer(process.context())
{
}

void LoadGenerator::start()
{
    m_startedAt = std::chrono::steady_clock::now();
    m_dueAt = m_startedAt;
    scheduleNext();
}

void LoadGenerator::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    endWhenIdle();
}

std::chrono::milliseconds LoadGenerator::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startedAt);
}

void LoadGenerator::scheduleNext()
{
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(m_shape.callsPerSecond)(m_random));
    m_dueAt += std::chrono::duration_cast<std::chrono::steady_clock::duration>(gap);
    if (m_dueAt - m_startedAt >= m_shape.duration) {
        stop();
        return;
    }
    m_timer.expires_at(m_dueAt);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec || m_isStopped)
            return;
        makeCall(m_dueAt);
        scheduleNext();
    });
}

void LoadGenerator::makeCall(std::chrono::steady_clock::time_point dueAt)
{
    LoadCall call { ++m_calls, m_mix.draw(m_random), dueAt, m_shape.timeout, "" };
    if (m_shape.hasKeys && call.kind.method == http::verb::post)
        call.key = "load-" + std::to_string(m_shape.seed) + "-" + std::to_string(call.number);
    if (m_open >= m_shape.maximumOpen) {
        LoadResult result;
        result.call = call.number;
        result.target = targetOf(call);
        result.error = "too many open calls";
        record(result);
        return;
    }
    const auto connection = connectionTo(m_shape.targets[call.number % m_shape.targets.size()]);
    ++m_open;
    connection->make(std::move(call), [this, connection](const LoadResult& result, bool isReusable) { finished(result, isReusable, connection); });
}

LoadGenerator::Connection LoadGenerator::connectionTo(const tcp::endpoint& endpoint)
{
    auto& idle = m_idle[endpoint];
    if (idle.empty())
        return std::make_shared<LoadConnection>(m_process.context(), endpoint);
    auto connection = idle.back();
    idle.pop_back();
    return connection;
}

void LoadGenerator::finished(const LoadResult& result, bool isReusable, const Connection& connection)
{
    --m_open;
    if (isReusable)
        m_idle[connection->endpoint()].push_back(connection);
    record(result);
    endWhenIdle();
}

void LoadGenerator::record(const LoadResult& result)
{
    m_report.add(result);
    if (!m_shape.isVerbose)
        return;
    m_process.events().record(Event(callEvent)
                                  .with("call", result.call)
                                  .with("method", result.method)
                                  .with("path", result.target)
                                  .with("status", result.status)
                                  .with("outcome", result.outcome)
                                  .with("reason", result.reason)
                                  .with("requestId", result.requestId)
                                  .with("version", result.version)
                                  .with("isOwnAnswer", result.isOwnAnswer)
                                  .with("error", result.error)
                                  .with("latencyMs", result.latency));
}

void LoadGenerator::endWhenIdle()
{
    if (m_isStopped && m_open == 0)
        m_process.stop();
}

}
