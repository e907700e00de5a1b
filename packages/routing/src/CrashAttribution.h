#pragma once

#include "carobpath/routing/CrashReport.h"

#include <set>
#include <vector>

namespace carobpath::routing {

/// One crash and those of its suspects that are not cleared.
using CrashSuspects = std::set<Fingerprint>;

/// \param known requests that were found guilty before; they explain the crashes that they are in.
/// \returns the requests that alone explain two crashes or more, with the known ones that are in any.
std::set<Fingerprint> findCulprits(std::vector<CrashSuspects> crashes, const std::set<Fingerprint>& known);

}
