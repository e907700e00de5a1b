#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "moves/Scenario.h"

#include <optional>
#include <random>
#include <vector>

namespace carobpath::bench {

/// Stands for the platform's log and the fold of its records: takes verdicts with a delay, loses them while it is
/// down, and keeps the first terminal record.
class LogModel {
public:
    static constexpr milliseconds s_shortestAppend { 10 };
    static constexpr milliseconds s_longestAppend { 100 };

    LogModel(std::optional<Interval> outage, std::mt19937_64& random)
        : m_outage(outage)
        , m_random(random)
    {
    }

    void append(const publication::MoveVerdict& verdict, milliseconds now)
    {
        ++m_appends;
        const auto delay = std::uniform_int_distribution<std::int64_t> { s_shortestAppend.count(), s_longestAppend.count() }(m_random);
        const auto at = now + milliseconds { delay };
        if (m_outage && m_outage->contains(at))
            return;
        // Records that are not seen yet may land in another order than they were sent.
        if (!m_recordedAt || at < *m_recordedAt) {
            m_recordedAt = at;
            m_verdict = verdict;
        }
    }

    bool hasRecord(milliseconds now) const { return m_recordedAt && *m_recordedAt <= now; }
    const std::optional<milliseconds>& recordedAt() const { return m_recordedAt; }
    const publication::MoveVerdict& verdict() const { return m_verdict; }
    std::uint64_t appends() const { return m_appends; }

private:
    std::optional<Interval> m_outage;
    std::mt19937_64& m_random;
    std::optional<milliseconds> m_recordedAt;
    publication::MoveVerdict m_verdict;
    std::uint64_t m_appends = 0;
};

}
