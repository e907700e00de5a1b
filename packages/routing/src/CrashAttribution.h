#pragma once

#include "carobpath/routing/CrashReport.h"

#include <set>
#include <vector>

namespace carobpath::routing {

/// The suspects of one crash that are not cleared.
using CrashSuspects = std::set<Fingerprint>;

/// \param known culprits found before; each of them explains all crashes that it is a suspect of.
/// \returns the requests whose attributed parts add up to at least two crashes, and the known culprits that explain any.
std::set<Fingerprint> findCulprits(std::vector<CrashSuspects> crashes, const std::set<Fingerprint>& known);

}
