#pragma once

#include "moves/Policy.h"

#include <array>

namespace carobpath::bench {

/// The baseline: five fixed steps of equal length, checked at a fixed interval over the counts of the whole step, with
/// fixed limits. It is given perfect evidence and needs no exchange.
class FixedStep {
public:
    static constexpr std::array<double, 5> s_shares { 0.1, 0.25, 0.5, 0.75, 1 };
    static constexpr milliseconds s_checkInterval { 30000 };
    static constexpr std::uint64_t s_fewestCalls = 20;
    /// Limits of the new version's step: failures above the old version's, and factor of mean latency.
    static constexpr double s_failExcess = 0.05;
    static constexpr double s_latencyFactor = 2;

    FixedStep(const Scenario&, std::mt19937_64&);

    Pick pick(std::size_t node, double random, milliseconds now) const;
    double newShare(std::size_t node, milliseconds now) const;
    bool isUp(std::size_t, milliseconds) const { return true; }
    void observe(std::size_t node, Pick, std::size_t route, const DrawnCall&, milliseconds now);
    void step(milliseconds now, LogModel&);
    std::uint64_t controlBytes() const { return 0; }
    std::optional<milliseconds> foundAt() const { return std::nullopt; }
    bool isSettled(milliseconds now) const;

private:
    struct Totals {
        std::uint64_t calls = 0;
        std::uint64_t failed = 0;
        double seconds = 0;

        double failRate() const { return calls == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(calls); }
        double meanSeconds() const { return calls == 0 ? 0 : seconds / static_cast<double>(calls); }
    };

    bool isBad() const;
    void finish(publication::MoveOutcome, milliseconds now, LogModel&);

    const Scenario& m_scenario;
    std::size_t m_step = 0;
    milliseconds m_nextCheck = s_checkInterval;
    std::optional<publication::MoveOutcome> m_outcome;
    milliseconds m_nextAppend {};
    Totals m_old;
    Totals m_new;
};

}
