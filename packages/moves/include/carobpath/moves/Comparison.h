#pragma once

/// \file
/// Statistics that compare the two versions of a move on one route. All are pure functions of merged counts.

#include "carobpath/moves/RouteEvidence.h"

#include <cstdint>

namespace carobpath::moves {

/// Minimum difference of rates that counts as a regression, however statistically significant it is.
double minExcess(RegressionKind);

/// Logarithm of the evidence that the new version has a higher rate of regressed (failed or slow) calls than the
/// serving one.
///
/// Within one evidence window, the new version's fraction of the regressed calls is compared with its fraction of all
/// calls. The two fractions are equal if both versions regress alike, so a shared cause gives no evidence. The
/// likelihood ratios of the windows form an e-process: a mixture over rate ratios and over the windows in which the
/// regression may have begun. By Ville's inequality, the probability that a good version ever exceeds a threshold log(x)
/// is at most 1/x, regardless of the number of assessments.
/// \param endWindow only windows of the plan before this one count
double logEvidence(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t endWindow);

/// \returns whether the rate of the new version exceeds that of the serving one by a relevant amount in the window or
/// in the one before it.
bool isExcessLarge(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t window);

/// \returns whether the new version regresses more often in the window than the serving one did up to now, while the
/// serving version does not indicate a shared cause in that window, for example because it took too few calls.
bool isSuspect(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t window);

/// \returns whether the new version was suspect twice while calls were split as planned, and the serving version was
/// fine both times once calls were split cautiously. A regression under load disappears when the share is reduced, so a
/// cautious window alone cannot confirm it.
bool isSuspectAgain(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t window);

/// \returns whether the new version regresses more often than chance explains.
/// \param baseline the serving version up to now, used as a prior if there are few concurrent calls
/// \param concurrent the serving version in the same windows as the new one
/// \param chance significance level: an excess less probable than this is not attributed to chance
bool isWorse(const Frequency& baseline, const Frequency& concurrent, const Frequency& to, RegressionKind, double chance);

}
