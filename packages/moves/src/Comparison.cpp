#include "carobpath/moves/Comparison.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace carobpath::moves {

namespace {

    constexpr std::array<double, 3> failedRatios { 4, 20, 100 };
    constexpr std::array<double, 3> slowRatios { 2, 4, 8 };

    /// Bounds that keep the arithmetic finite; far beyond any threshold.
    constexpr double mostEvidence = 1e100;
    constexpr double leastEvidence = 1e-100;

    constexpr double leastFailedExcess = 0.01;
    constexpr double leastSlowExcess = 0.1;
    constexpr std::uint64_t leastEvents = 3;

    constexpr std::uint64_t leastSuspectEvents = 5;
    /// Weight of what the serving version did up to now, in calls.
    constexpr double priorCalls = 3;
    constexpr std::uint64_t fewestControlCalls = 5;
    constexpr double suspectChance = 1e-4;
    constexpr double leastFailedRate = 0.005;
    constexpr double slowRate = 0.1;
    /// Part of the new version's rate that the serving one has to show for the cause to be held as shared.
    constexpr double sharedPart = 0.33;

    /// Events up to which a binomial tail is summed; beyond, it is taken as normal.
    constexpr std::uint64_t mostSummedEvents = 200;

    /// \returns the probability of as many events or more among independent calls.
    double probabilityOfAtLeast(std::uint64_t events, std::uint64_t calls, double rate)
    {
        if (rate >= 1)
            return 1;
        const auto n = static_cast<double>(calls);
        if (events > mostSummedEvents) {
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

    const std::array<double, 3>& ratiosOf(RegressionKind badness)
    {
        return badness == RegressionKind::Failed ? failedRatios : slowRatios;
    }

    /// Logarithm of the likelihood ratio of one window for one ratio of rates.
    double logLikelihoodRatio(const Frequency& from, const Frequency& to, double ratio)
    {
        const auto calls = static_cast<double>(from.calls + to.calls);
        // One call more for the new version: with few calls the ratio errs to its favour.
        const auto part = (static_cast<double>(to.calls) + 1) / (calls + 1);
        const auto events = static_cast<double>(from.events + to.events);
        return static_cast<double>(to.events) * std::log(ratio) - events * std::log(ratio * part + 1 - part);
    }

}

namespace {

    /// How often the serving version was bad in the cautious windows that follow a window.
    Frequency cautiousControl(const RouteEvidence& evidence, RegressionKind badness, std::size_t slowClass, std::uint32_t window)
    {
        auto counts = evidence.window(MovePlan::evidenceWindow(window, true)).from;
        if (window + 1 < MovePlan::s_windows)
            counts += evidence.window(MovePlan::evidenceWindow(window + 1, true)).from;
        return frequencyOf(counts, badness, slowClass);
    }

}

double minExcess(RegressionKind badness)
{
    return badness == RegressionKind::Failed ? leastFailedExcess : leastSlowExcess;
}

double logEvidence(const RouteEvidence& evidence, RegressionKind badness, std::size_t slowClass, std::uint32_t endWindow)
{
    constexpr double weight = 1.0 / MovePlan::s_evidenceWindows;
    std::array<double, 3> sums {};
    for (std::uint32_t i = 0; i < 2 * endWindow && i < MovePlan::s_evidenceWindows; ++i) {
        const auto from = frequencyOf(evidence.window(i).from, badness, slowClass);
        const auto to = frequencyOf(evidence.window(i).to, badness, slowClass);
        const bool isEmpty = from.events + to.events == 0;
        for (std::size_t j = 0; j < sums.size(); ++j) {
            sums[j] += weight;
            if (!isEmpty)
                sums[j] = std::min(mostEvidence, sums[j] * std::exp(logLikelihoodRatio(from, to, ratiosOf(badness)[j])));
        }
    }
    return std::log(std::max(leastEvidence, (sums[0] + sums[1] + sums[2]) / static_cast<double>(sums.size())));
}

bool isExcessLarge(const RouteEvidence& evidence, RegressionKind badness, std::size_t slowClass, std::uint32_t window)
{
    for (auto w = window > 0 ? window - 1 : 0; w <= window; ++w) {
        const auto counts = evidence.sum(w, w + 1);
        const auto from = frequencyOf(counts.from, badness, slowClass);
        const auto to = frequencyOf(counts.to, badness, slowClass);
        if (to.events >= leastEvents && to.rate() - from.rate() >= minExcess(badness))
            return true;
    }
    return false;
}

bool isSuspect(const RouteEvidence& evidence, RegressionKind badness, std::size_t slowClass, std::uint32_t window)
{
    const auto counts = evidence.sum(window, window + 1);
    const auto from = frequencyOf(counts.from, badness, slowClass);
    const auto to = frequencyOf(counts.to, badness, slowClass);
    if (to.events < leastSuspectEvents)
        return false;
    const auto usual = frequencyOf(evidence.sum(0, window + 1).from, badness, slowClass);
    if (!isWorse(usual, {}, to, badness, suspectChance))
        return false;
    const bool isShared = from.events >= leastEvents && from.rate() >= sharedPart * to.rate();
    return !isShared;
}

bool isSuspectAgain(const RouteEvidence& evidence, RegressionKind badness, std::size_t slowClass, std::uint32_t window)
{
    const auto usual = frequencyOf(evidence.sum(0, window + 1).from, badness, slowClass);
    std::uint32_t n = 0;
    for (std::uint32_t w = 0; w <= window; ++w) {
        const auto& planned = evidence.window(MovePlan::evidenceWindow(w, false));
        const auto to = frequencyOf(planned.to, badness, slowClass);
        if (to.events < leastSuspectEvents || !isWorse(usual, {}, to, badness, suspectChance))
            continue;
        const auto beside = frequencyOf(planned.from, badness, slowClass);
        const auto after = cautiousControl(evidence, badness, slowClass, w);
        const bool isShared = beside.events > 0 && beside.rate() >= sharedPart * to.rate();
        if (!isShared && after.calls >= fewestControlCalls && after.rate() < sharedPart * to.rate())
            ++n;
    }
    return n >= 2;
}

bool isWorse(const Frequency& usual, const Frequency& beside, const Frequency& to, RegressionKind badness, double chance)
{
    const auto floor = badness == RegressionKind::Failed ? leastFailedRate : slowRate;
    const auto before = std::clamp(usual.rate(), floor, 1.0);
    const auto calls = static_cast<double>(beside.calls) + priorCalls;
    // What happened beside can excuse the new version; few good calls beside cannot condemn it.
    const auto expected = std::max(before, (static_cast<double>(beside.events) + before * priorCalls) / calls);
    if (to.events == 0 || to.rate() < expected + minExcess(badness))
        return false;
    // The rate beside is an estimate too: its standard deviation goes to the new version's favour.
    const auto deviation = beside.events > 0 ? std::sqrt(expected * (1 - expected) / calls) : 0;
    return probabilityOfAtLeast(to.events, to.calls, std::min(1.0, expected + deviation)) < chance;
}

}
