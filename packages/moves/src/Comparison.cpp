#include "carobpath/moves/Comparison.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace carobpath::moves {

namespace {

    constexpr std::array<double, 3> failedRatios { 4, 20, 100 };
    constexpr std::array<double, 3> slowRatios { 2, 4, 8 };

    /// Upper bound that keeps the arithmetic finite, far beyond any threshold.
    constexpr double maxEvidence = 1e100;
    /// Lower bound that keeps the logarithm finite.
    constexpr double minEvidence = 1e-100;

    constexpr double minFailedExcess = 0.01;
    constexpr double minSlowExcess = 0.1;
    constexpr std::uint64_t minEvents = 3;

    constexpr std::uint64_t minSuspectEvents = 5;
    /// Weight of the serving version's baseline, in calls.
    constexpr double priorCalls = 3;
    constexpr std::uint64_t minControlCalls = 5;
    constexpr double suspectChance = 1e-4;
    constexpr double minFailedRate = 0.005;
    constexpr double minSlowRate = 0.1;
    /// The cause is considered shared if the serving version reaches this fraction of the new version's rate.
    constexpr double sharedFraction = 0.33;

    /// Maximum number of events for which a binomial tail is summed; beyond it, the normal approximation is used.
    constexpr std::uint64_t maxSummedEvents = 200;

    /// \returns the probability of at least this many events among independent calls.
    double probabilityOfAtLeast(std::uint64_t events, std::uint64_t calls, double rate)
    {
        if (rate >= 1)
            return 1;
        const auto n = static_cast<double>(calls);
        if (events > maxSummedEvents) {
            const auto deviations = (static_cast<double>(events) - n * rate) / std::sqrt(n * rate * (1 - rate));
            return 0.5 * std::erfc(deviations / std::sqrt(2.0));
        }
        auto logTerm = n * std::log1p(-rate);
        const auto logOdds = std::log(rate) - std::log1p(-rate);
        double below = 0;
        for (std::uint64_t k = 0; k < events; ++k) {
            below += std::exp(logTerm);
            logTerm += logOdds + std::log((n - static_cast<double>(k)) / static_cast<double>(k + 1));
        }
        return std::max(0.0, 1 - below);
    }

    const std::array<double, 3>& ratiosOf(RegressionKind kind)
    {
        return kind == RegressionKind::Failed ? failedRatios : slowRatios;
    }

    /// Logarithm of the likelihood ratio of one window for one ratio of rates.
    double logLikelihoodRatio(const Frequency& from, const Frequency& to, double ratio)
    {
        const auto calls = static_cast<double>(from.calls + to.calls);
        // One call is added for the new version, so that with few calls the ratio is biased in its favour.
        const auto part = (static_cast<double>(to.calls) + 1) / (calls + 1);
        const auto events = static_cast<double>(from.events + to.events);
        return static_cast<double>(to.events) * std::log(ratio) - events * std::log(ratio * part + 1 - part);
    }

    /// \returns the regressed calls of the serving version in the cautious part of the window and of the next one.
    Frequency cautiousControl(const RouteEvidence& evidence, RegressionKind kind, std::size_t slowClass, std::uint32_t window)
    {
        auto counts = evidence.window(MovePlan::evidenceWindow(window, true)).from;
        if (window + 1 < MovePlan::s_windows)
            counts += evidence.window(MovePlan::evidenceWindow(window + 1, true)).from;
        return frequencyOf(counts, kind, slowClass);
    }

}

double minExcess(RegressionKind kind)
{
    return kind == RegressionKind::Failed ? minFailedExcess : minSlowExcess;
}

double logEvidence(const RouteEvidence& evidence, RegressionKind kind, std::size_t slowClass, std::uint32_t endWindow)
{
    constexpr double weight = 1.0 / MovePlan::s_evidenceWindows;
    std::array<double, 3> sums {};
    for (std::uint32_t i = 0; i < 2 * endWindow && i < MovePlan::s_evidenceWindows; ++i) {
        const auto from = frequencyOf(evidence.window(i).from, kind, slowClass);
        const auto to = frequencyOf(evidence.window(i).to, kind, slowClass);
        const bool isEmpty = from.events + to.events == 0;
        for (std::size_t j = 0; j < sums.size(); ++j) {
            sums[j] += weight;
            if (!isEmpty)
                sums[j] = std::min(maxEvidence, sums[j] * std::exp(logLikelihoodRatio(from, to, ratiosOf(kind)[j])));
        }
    }
    return std::log(std::max(minEvidence, (sums[0] + sums[1] + sums[2]) / static_cast<double>(sums.size())));
}

bool isExcessLarge(const RouteEvidence& evidence, RegressionKind kind, std::size_t slowClass, std::uint32_t window)
{
    for (auto w = window > 0 ? window - 1 : 0; w <= window; ++w) {
        const auto counts = evidence.sum(w, w + 1);
        const auto from = frequencyOf(counts.from, kind, slowClass);
        const auto to = frequencyOf(counts.to, kind, slowClass);
        if (to.events >= minEvents && to.rate() - from.rate() >= minExcess(kind))
            return true;
    }
    return false;
}

bool isSuspect(const RouteEvidence& evidence, RegressionKind kind, std::size_t slowClass, std::uint32_t window)
{
    const auto counts = evidence.sum(window, window + 1);
    const auto from = frequencyOf(counts.from, kind, slowClass);
    const auto to = frequencyOf(counts.to, kind, slowClass);
    if (to.events < minSuspectEvents)
        return false;
    const auto baseline = frequencyOf(evidence.sum(0, window + 1).from, kind, slowClass);
    if (!isWorse(baseline, {}, to, kind, suspectChance))
        return false;
    const bool isShared = from.events >= minEvents && from.rate() >= sharedFraction * to.rate();
    return !isShared;
}

bool isSuspectAgain(const RouteEvidence& evidence, RegressionKind kind, std::size_t slowClass, std::uint32_t window)
{
    const auto baseline = frequencyOf(evidence.sum(0, window + 1).from, kind, slowClass);
    std::uint32_t n = 0;
    for (std::uint32_t w = 0; w <= window; ++w) {
        const auto& planned = evidence.window(MovePlan::evidenceWindow(w, false));
        const auto to = frequencyOf(planned.to, kind, slowClass);
        if (to.events < minSuspectEvents || !isWorse(baseline, {}, to, kind, suspectChance))
            continue;
        const auto concurrent = frequencyOf(planned.from, kind, slowClass);
        const auto after = cautiousControl(evidence, kind, slowClass, w);
        const bool isShared = concurrent.events > 0 && concurrent.rate() >= sharedFraction * to.rate();
        if (!isShared && after.calls >= minControlCalls && after.rate() < sharedFraction * to.rate())
            ++n;
    }
    return n >= 2;
}

bool isWorse(const Frequency& baseline, const Frequency& concurrent, const Frequency& to, RegressionKind kind, double chance)
{
    const auto minRate = kind == RegressionKind::Failed ? minFailedRate : minSlowRate;
    const auto before = std::clamp(baseline.rate(), minRate, 1.0);
    const auto calls = static_cast<double>(concurrent.calls) + priorCalls;
    // Concurrent regressions of the serving version excuse the new one, but a few good concurrent calls do not convict it.
    const auto expected = std::max(before, (static_cast<double>(concurrent.events) + before * priorCalls) / calls);
    if (to.events == 0 || to.rate() < expected + minExcess(kind))
        return false;
    // The concurrent rate is an estimate too; its standard deviation is added in the new version's favour.
    const auto deviation = concurrent.events > 0 ? std::sqrt(expected * (1 - expected) / calls) : 0;
    return probabilityOfAtLeast(to.events, to.calls, std::min(1.0, expected + deviation)) < chance;
}

}
