#include "carobpath/routing/ReportedState.h"

#include <tuple>

namespace carobpath::routing {

void ReportedState::setRun(const membership::BackendRun& run)
{
    if (m_run == run)
        return;
    *this = ReportedState {};
    m_run = run;
}

bool ReportedState::onReport(
    const membership::BackendRun& run, const BackendReport& report, ReportSource source, MonotonicTime sentAt, MonotonicTime now)
{
    if (m_run != run)
        return false;
    m_hasReported = true;
    const auto before = std::tuple { m_callsPerSecond, m_isLeaving };
    m_isLeaving = m_isLeaving || report.isLeaving;
    if (report.callsPerSecond) {
        m_callsPerSecond = report.callsPerSecond;
        m_namedAt = now;
    } else if (!report.isLimitUnreadable && source == ReportSource::Run && sentAt >= m_namedAt) {
        m_callsPerSecond.reset();
    }
    return before != std::tuple { m_callsPerSecond, m_isLeaving };
}

bool ReportedState::onHint(double callsPerSecond)
{
    if (!m_run || m_hasReported || m_callsPerSecond)
        return false;
    m_callsPerSecond = callsPerSecond;
    return true;
}

}
