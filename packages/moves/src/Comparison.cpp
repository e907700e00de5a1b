#include "carobpath/moves/Comparison.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace carobpath::moves {

namespace {

    constexpr std::array<double, 3> failedRatios { 4, 20, 100 };
    constexpr std::array<double, 3> slowRatios { 2, 4, 8 };

    constexpr double leastFailedExcess = 0.01;
    constexpr double leastSlowExcess = 0.1;
    constexpr std::uint64_t leastEvents = 3;

    constexpr std::uint64_t leastSuspectEvents = 5;
    constexpr double suspectDeviations = 4;
    constexpr double leastFailedRate = 0.002;
    constexpr double slowRate = 0.1;
    /// Part of the new version's rate that the serving one has to show for the cause to be held as shared.
    constexpr double sharedPart = 0.33;

    constexpr double worseDeviations = 3;

    const std::array<double, 3>& ratiosOf(Badness badness)
    {
        return badness == Badness::Failed ? failedRatios : slowRatios;
    }

    double logSum(double a, double b)
    {
        const auto larger = std::max(a, b);
        return larger + std::log1p(std::exp(std::min(a, b) - larger));
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

double leastExcess(Badness badness)
{
    return badness == Badness::Failed ? leastFailedExcess : leastSlowExcess;
}

double logEvidence(const RouteEvidence& evidence, Badness badness, std::size_t slowClass, std::uint32_t endWindow)
{
    const double logWeight = -std::log(static_cast<double>(MovePlan::s_evidenceWindows));
    std::array<double, 3> sums {};
    sums.fill(-std::numeric_limits<double>::infinity());
    for (std::uint32_t i = 0; i < 2 * endWindow && i < evidence.windows.size(); ++i) {
        const auto from = frequencyOf(evidence.windows[i].from, badness, slowClass);
        const auto to = frequencyOf(evidence.windows[i].to, badness, slowClass);
        const bool isEmpty = from.events + to.events == 0;
        for (std::size_t j = 0; j < sums.size(); ++j) {
            sums[j] = logSum(logWeight, sums[j]);
            if (!isEmpty)
                sums[j] += logLikelihoodRatio(from, to, ratiosOf(badness)[j]);
        }
    }
    auto mixture = sums[0];
    for (std::size_t j = 1; j < sums.size(); ++j)
        mixture = logSum(mixture, sums[j]);
    return mixture - std::log(static_cast<double>(sums.size()));
}

bool isExcessLarge(const RouteEvidence& evidence, Badness badness, std::size_t slowClass, std::uint32_t window)
{
    for (auto w = window > 0 ? window - 1 : 0; w <= window; ++w) {
        const auto counts = evidence.sum(w, w + 1);
        const auto from = frequencyOf(counts.from, badness, slowClass);
        const auto to = frequencyOf(counts.to, badness, slowClass);
        if (to.events >= leastEvents && to.rate() - from.rate() >= leastExcess(badness))
            return true;
    }
    return false;
}

bool isSuspect(const RouteEvidence& evidence, Badness badness, std::size_t slowClass, std::uint32_t window)
{
    const auto counts = evidence.sum(window, window + 1);
    const auto from = frequencyOf(counts.from, badness, slowClass);
    const auto to = frequencyOf(counts.to, badness, slowClass);
    if (to.events < leastSuspectEvents || to.rate() < leastExcess(badness))
        return false;
    const auto before = evidence.sum(0, window);
    auto usual = frequencyOf(before.from, badness, slowClass);
    const auto usualOfNew = frequencyOf(before.to, badness, slowClass);
    usual.events += usualOfNew.events;
    usual.calls += usualOfNew.calls;
    const auto rate = std::max(usual.rate(), badness == Badness::Failed ? leastFailedRate : slowRate);
    const auto expected = rate * static_cast<double>(to.calls);
    if (static_cast<double>(to.events) < expected + suspectDeviations * std::sqrt(expected))
        return false;
    const bool isShared = from.events >= leastEvents && from.rate() >= sharedPart * to.rate();
    return !isShared;
}

bool isWorse(const Frequency& from, const Frequency& to, Badness badness)
{
    if (to.calls == 0)
        return false;
    const auto toCalls = static_cast<double>(to.calls);
    const auto fromCalls = std::max(1.0, static_cast<double>(from.calls));
    const auto floor = badness == Badness::Failed ? leastFailedRate : slowRate;
    const auto pooled = std::clamp(from.rate(), floor, 1.0);
    const auto deviation = std::sqrt(pooled * (1 - pooled) * (1 / toCalls + 1 / fromCalls));
    return to.events >= 2 && to.rate() > pooled + leastExcess(badness) + worseDeviations * deviation;
}

}
