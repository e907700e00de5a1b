#include "LoadReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace carobpath::standins {

namespace {

    double percentileMs(const std::vector<std::chrono::microseconds>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
        const auto index = std::min(sorted.size(), std::max<std::size_t>(rank, 1)) - 1;
        return std::chrono::duration<double, std::milli>(sorted[index]).count();
    }

    void count(std::map<std::string, std::uint64_t>& counts, const std::string& key)
    {
        if (!key.empty())
            ++counts[key];
    }

}

void LoadReport::add(const LoadResult& result)
{
    ++m_calls;
    m_wrongAnswers += result.isOwnAnswer ? 0 : 1;
    count(m_byStatus, std::to_string(result.status));
    count(m_byOutcome, result.outcome);
    count(m_byReason, result.reason);
    count(m_byVersion, result.version);
    count(m_byError, result.error);
    if (result.status >= 200 && result.status < 300)
        m_latencies.push_back(result.latency);
}

std::string LoadReport::json(std::chrono::milliseconds duration) const
{
    auto sorted = m_latencies;
    std::sort(sorted.begin(), sorted.end());
    const nlohmann::ordered_json report {
        { "event", "summary" },
        { "calls", m_calls },
        { "seconds", std::chrono::duration<double>(duration).count() },
        { "succeeded", sorted.size() },
        { "wrongAnswers", m_wrongAnswers },
        { "p50Ms", percentileMs(sorted, 0.5) },
        { "p99Ms", percentileMs(sorted, 0.99) },
        { "p999Ms", percentileMs(sorted, 0.999) },
        { "maximumMs", percentileMs(sorted, 1) },
        { "byStatus", m_byStatus },
        { "byOutcome", m_byOutcome },
        { "byReason", m_byReason },
        { "byVersion", m_byVersion },
        { "byError", m_byError },
    };
    return report.dump();
}

}
