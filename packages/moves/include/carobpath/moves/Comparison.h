#pragma once

#include "carobpath/moves/RouteEvidence.h"

#include <cstdint>

/// The statistics that compare the two versions of a move on one route. All are pure functions of merged counts.
namespace carobpath::moves {

/// Smallest difference of rates that counts as badness, however certain it is.
double minExcess(RegressionKind);

/// Logarithm of the evidence that the new version is bad more often than the serving one.
///
/// Among the bad calls of one evidence window, the part that the new version took is compared with the part of all
/// calls that it took: the two agree where both versions are bad alike, so a shared cause gives no evidence. The
/// likelihood ratios of the windows make an e-process (a mixture over rate ratios, and over the windows in which the
/// badness may have begun). By Ville's inequality a good version ever passes a threshold log(x) with probability at
/// most 1/x, however often one looks.
/// \param endWindow window of the plan before which evidence counts
double logEvidence(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t endWindow);

/// \returns whether the new version's excess over the serving one in the window, or the one before it, is large
/// enough to matter.
bool isExcessLarge(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t window);

/// \returns whether the new version is bad more often in the window than the serving one was up to now, and the
/// serving version took too few calls in the window to show that the cause is shared.
bool isSuspect(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t window);

/// \returns whether the new version was suspect twice while calls were split as planned, and both times the serving
/// version did well once they were split cautiously. Badness under load vanishes with the share, so that a cautious
/// window alone never shows it.
bool isSuspectAgain(const RouteEvidence&, RegressionKind, std::size_t slowClass, std::uint32_t window);

/// \returns whether the new version is bad more often than chance explains.
/// \param usual the serving version up to now; with few calls beside, it stands in for them
/// \param beside the serving version in the same windows as the new one
/// \param chance probability below which an excess is not held to be chance
bool isWorse(const Frequency& usual, const Frequency& beside, const Frequency& to, RegressionKind, double chance);

}
