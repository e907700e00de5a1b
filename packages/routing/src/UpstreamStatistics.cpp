#include "carobpath/routing/UpstreamStatistics.h"

#include "carobpath/foundation/ExponentialDelay.h"
#include "carobpath/routing/RateLimiter.h"

#include <algorithm>
#include <cmath>

namespace carobpath::routing {

namespace {

    /// Weight of a new sample in the moving averages of latency and overhead.
    constexpr double latencyWeight = 0.2;
    /// Weight of a new answer in the moving average of the error rate.
    constexpr double errorWeight = 0.1;
    /// Weight of a new report in the moving average of the calls at an upstream.
    constexpr double usualCallsWeight = 0.1;

    /// \returns the fraction of a value that is left at this age.
    double remainingFraction(MonotonicClock::duration age, std::chrono::duration<double> halfLife)
    {
        return std::exp2(-std::chrono::duration<double> { age } / halfLife);
    }

    double toSeconds(std::chrono::nanoseconds it) { return std::chrono::duration<double>(it).count(); }

}

void UpstreamStatistics::onSent(bool probe)
{
    ++m_inFlight;
    m_probeRunning = m_probeRunning || probe;
}

void UpstreamStatistics::onFinished(
    UpstreamSignal signal, std::chrono::nanoseconds latency, std::chrono::milliseconds cooldown, MonotonicTime now)
{
    m_inFlight -= std::min(m_inFlight, 1U);
    m_probeRunning = false;
    switch (signal) {
    case UpstreamSignal::Answered:
        countAnswer(latency, false, now);
        break;
    case UpstreamSignal::ServerError:
        countAnswer(latency, true, now);
        break;
    case UpstreamSignal::Overloaded:
        m_failuresInRow = 0;
        m_cooldownUntil = now + std::clamp(cooldown, s_minCooldown, s_maxCooldown);
        break;
    case UpstreamSignal::NotServing:
        m_notServingUntil = now + s_notServingTime;
        break;
    case UpstreamSignal::Lost:
        m_connectionsSuspect = true;
        countFailure(now);
        break;
    case UpstreamSignal::Unreachable:
        countFailure(now);
        break;
    case UpstreamSignal::Abandoned:
        break;
    }
}

void UpstreamStatistics::onLoad(const UpstreamLoad& load, MonotonicTime now)
{
    m_usualCalls = hasLoad() ? m_usualCalls + usualCallsWeight * (load.calls - m_usualCalls) : load.calls;
    m_load = load;
    m_loadAt = now;
    m_inFlightAtLoad = m_inFlight;
    m_callsPerSecond = load.rate ? std::optional { load.rate->callsPerSecond } : std::nullopt;
    if (!load.rate || load.rate->wait.count() == 0)
        m_rateRefusal.reset();
}

void UpstreamStatistics::onRateLimited(std::uint32_t priority, std::chrono::milliseconds wait, MonotonicTime now)
{
    const bool isCovered = m_rateRefusal && now < m_rateRefusal->until && m_rateRefusal->priority < priority;
    if (!isCovered)
        m_rateRefusal = RateRefusal { priority, now + wait };
}

std::chrono::nanoseconds UpstreamStatistics::untilAccepted(std::uint32_t priority, MonotonicTime now) const
{
    if (!m_rateRefusal || priority < m_rateRefusal->priority)
        return {};
    return std::max<std::chrono::nanoseconds>(m_rateRefusal->until - now, {});
}

double UpstreamStatistics::rateWaitSeconds(double sentSince, MonotonicTime now) const
{
    if (!m_load.rate)
        return 0;
    const double left = std::max(0.0, toSeconds(m_load.rate->wait) - toSeconds(now - m_loadAt));
    return left + sentSince / std::max(m_load.rate->callsPerSecond, RateLimiter::s_minCallsPerSecond);
}

double UpstreamStatistics::expectedSeconds(double mean, MonotonicTime now) const
{
    if (!hasLoad())
        return mean * (1 + m_inFlight);
    return expectedSecondsWith(m_load.calls * remainingFraction(now - m_loadAt, s_loadHalfLife), mean, now);
}

double UpstreamStatistics::expectedSecondsByUsualLoad(double mean, MonotonicTime now) const
{
    if (!hasLoad())
        return mean * (1 + m_inFlight);
    const double difference = m_load.calls - m_usualCalls;
    return expectedSecondsWith(m_usualCalls + difference * remainingFraction(now - m_loadAt, s_loadHalfLife), mean, now);
}

double UpstreamStatistics::expectedSecondsWith(double reportedCalls, double mean, MonotonicTime now) const
{
    const double sentSince = m_inFlight > m_inFlightAtLoad ? m_inFlight - m_inFlightAtLoad : 0;
    const double calls = std::max<double>(reportedCalls + sentSince, m_inFlight) + 1;
    const double service = m_load.serviceTime.count() > 0 ? reportedServiceSeconds(mean, now) : mean;
    // A few free slots make little difference, but a queue adds one service time for each round of calls in it.
    return service * std::max(1.0, calls / m_load.limit) + rateWaitSeconds(sentSince, now) + overheadSeconds(now);
}

double UpstreamStatistics::reportedServiceSeconds(double mean, MonotonicTime now) const
{
    const double reported = toSeconds(m_load.serviceTime);
    const double floor = std::min(reported, s_minServiceFraction * mean);
    return std::max(reported * remainingFraction(now - m_loadAt, s_latencyHalfLife), floor);
}

double UpstreamStatistics::overheadSeconds(MonotonicTime now) const
{
    return m_overheadSeconds * remainingFraction(now - m_latencyAt, s_latencyHalfLife);
}

void UpstreamStatistics::countFailure(MonotonicTime now)
{
    ++m_failuresInRow;
    const bool failedProbe = m_ejections > 0 && now >= m_ejectedUntil;
    if (m_failuresInRow < s_ejectAfter && !failedProbe)
        return;
    if (now < m_ejectedUntil)
        return;
    m_ejectedUntil = now + exponentialDelay(s_initialEjection, m_ejections, s_maxEjection);
    ++m_ejections;
}

void UpstreamStatistics::countAnswer(std::chrono::nanoseconds latency, bool error, MonotonicTime now)
{
    const double sample = toSeconds(latency);
    if (hasLoad()) {
        const double overhead = std::max(0.0, sample - toSeconds(m_load.serviceTime));
        const double previous = overheadSeconds(now);
        m_overheadSeconds = previous + latencyWeight * (overhead - previous);
    }
    const double before = latencySeconds(sample, now);
    m_latencySeconds = before + latencyWeight * (sample - before);
    m_latencyAt = now;
    m_errorRate += errorWeight * ((error ? 1.0 : 0.0) - m_errorRate);
    m_failuresInRow = 0;
    m_ejections = 0;
    m_ejectedUntil = {};
    m_notServingUntil = {};
    m_connectionsSuspect = false;
}

void UpstreamStatistics::onRevision(const Revision& revision, const std::optional<double>& callsPerSecond)
{
    // A node that has just started does not know which limit its backend server named before; only one that knew it lifts it.
    if (revision.incarnation != m_revision.incarnation)
        m_publishedRate.reset();
    if (revision != m_revision && (callsPerSecond || m_publishedRate))
        m_callsPerSecond = callsPerSecond;
    m_publishedRate = callsPerSecond;
    if (revision.incarnation != m_revision.incarnation) {
        m_failuresInRow = 0;
        m_ejections = 0;
        m_ejectedUntil = {};
        m_latencyAt = {};
        m_overheadSeconds = 0;
        m_usualCalls = m_load.calls;
        m_errorRate = 0;
    }
    if (revision != m_revision)
        m_notServingUntil = {};
    m_revision = revision;
}

UpstreamStatistics::Status UpstreamStatistics::status(MonotonicTime now) const
{
    if (now < m_notServingUntil)
        return Status::NotServing;
    if (now < m_ejectedUntil)
        return Status::Ejected;
    const bool awaitsProbe = m_ejections > 0 && now < m_ejectedUntil + s_recoveryTime;
    if (awaitsProbe || now < m_cooldownUntil)
        return Status::Degraded;
    return Status::Healthy;
}

bool UpstreamStatistics::probeDue(MonotonicTime now) const
{
    return m_ejections > 0 && now >= m_ejectedUntil && !m_probeRunning;
}

double UpstreamStatistics::latencySeconds(double mean, MonotonicTime now) const
{
    if (m_latencyAt == MonotonicTime {})
        return mean;
    return m_latencySeconds * remainingFraction(now - m_latencyAt, s_latencyHalfLife);
}

}
