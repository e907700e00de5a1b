#pragma once

/// \file
/// The texts of the enums that are used in object files, records, headers and logs.

#include "carobpath/publication/ConfigurationSet.h"

#include <optional>
#include <string_view>

namespace carobpath::publication {

std::string_view toString(Repeatability);
std::string_view toString(TrafficClass);
std::string_view toString(ThinEvidencePolicy);
std::string_view toString(MoveOutcome);
std::string_view toString(MoveReason);

std::optional<Repeatability> repeatabilityFromString(std::string_view);
std::optional<TrafficClass> trafficClassFromString(std::string_view);
std::optional<ThinEvidencePolicy> thinEvidencePolicyFromString(std::string_view);
std::optional<MoveOutcome> moveOutcomeFromString(std::string_view);
std::optional<MoveReason> moveReasonFromString(std::string_view);

}
