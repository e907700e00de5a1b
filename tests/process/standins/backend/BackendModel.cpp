#include "BackendModel.h"

namespace carobpath::standins {

std::string_view toString(BackendState state)
{
    switch (state) {
    case BackendState::Cold:
        return "cold";
    case BackendState::Ready:
        return "ready";
    case BackendState::Draining:
        return "draining";
    }
    return "ready";
}

BackendModel::BackendModel(BackendShape shape, MonotonicTime startedAt, std::uint64_t seed)
    : m_shape(std::move(shape))
    , m_startedAt(startedAt)
    , m_random(seed)
{
}

BackendState BackendModel::state(MonotonicTime now) const
{
    if (m_isDraining)
        return BackendState::Draining;
    return now - m_startedAt < m_shape.coldStart ? BackendState::Cold : BackendState::Ready;
}

Arrival BackendModel::arrive(MonotonicTime now)
{
    if (m_isDraining)
        return Arrival::RefuseDraining;
    if (m_inFlight < m_shape.slots) {
        ++m_inFlight;
        noteLoad(now);
        return Arrival::Run;
    }
    if (m_waiting >= m_shape.waiting)
        return Arrival::RefuseOverloaded;
    ++m_waiting;
    return Arrival::Wait;
}

void BackendModel::startWaiting(MonotonicTime now)
{
    --m_waiting;
    ++m_inFlight;
    noteLoad(now);
}

Execution BackendModel::execute(const std::string& path, MonotonicTime now)
{
    Execution execution { m_switches.work.value_or(m_shape.work), false, m_switches.isFrozen };
    if (state(now) == BackendState::Cold)
        execution.work *= s_coldFactor;
    if (!isBad(path, now))
        return execution;
    execution.work += m_switches.slow;
    execution.isFailed = std::bernoulli_distribution(m_switches.failRate)(m_random);
    return execution;
}

bool BackendModel::isBad(const std::string& path, MonotonicTime now) const
{
    return now - m_startedAt >= m_switches.badAfter
        && path.starts_with(m_switches.badPathPrefix)
        && m_inFlight > m_switches.badAboveInFlight;
}

void BackendModel::finish(MonotonicTime now)
{
    --m_inFlight;
    noteLoad(now);
}

bool BackendModel::health(MonotonicTime now) const
{
    return m_switches.claimedHealth.value_or(state(now) != BackendState::Draining);
}

std::uint64_t BackendModel::reportedInFlight(MonotonicTime now) const
{
    if (m_switches.claimedInFlight)
        return *m_switches.claimedInFlight;
    std::uint64_t reported = 0;
    for (const LoadSample& sample : m_samples) {
        if (sample.at + m_switches.loadLag <= now)
            reported = sample.inFlight;
    }
    return reported;
}

void BackendModel::noteLoad(MonotonicTime now)
{
    m_samples.push_back({ now, m_inFlight });
    if (m_samples.size() > s_maximumSamples)
        m_samples.pop_front();
}

}
