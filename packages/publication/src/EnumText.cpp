#include "carobpath/publication/EnumText.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath::publication {

namespace {

    constexpr std::array<EnumRow<Repeatability>, 2> repeatabilities { {
        { Repeatability::Repeatable, "repeatable" },
        { Repeatability::NotRepeatable, "not-repeatable" },
    } };

    constexpr std::array<EnumRow<TrafficClass>, 2> trafficClasses { {
        { TrafficClass::Short, "short" },
        { TrafficClass::Download, "download" },
    } };

    constexpr std::array<EnumRow<ThinEvidencePolicy>, 2> thinEvidencePolicies { {
        { ThinEvidencePolicy::Finish, "finish" },
        { ThinEvidencePolicy::TakeBack, "take-back" },
    } };

    constexpr std::array<EnumRow<MoveOutcome>, 3> moveOutcomes { {
        { MoveOutcome::Done, "done" },
        { MoveOutcome::TakenBack, "taken-back" },
        { MoveOutcome::Withdrawn, "withdrawn" },
    } };

    constexpr std::array<EnumRow<MoveReason>, 6> moveReasons { {
        { MoveReason::None, "none" },
        { MoveReason::ErrorRate, "error-rate" },
        { MoveReason::Latency, "latency" },
        { MoveReason::ThinEvidence, "thin-evidence" },
        { MoveReason::NoUpstream, "no-upstream" },
        { MoveReason::Replaced, "replaced" },
    } };

}

std::string_view toString(Repeatability it) { return enumText(repeatabilities, it); }
std::string_view toString(TrafficClass it) { return enumText(trafficClasses, it); }
std::string_view toString(ThinEvidencePolicy it) { return enumText(thinEvidencePolicies, it); }
std::string_view toString(MoveOutcome it) { return enumText(moveOutcomes, it); }
std::string_view toString(MoveReason it) { return enumText(moveReasons, it); }

std::optional<Repeatability> repeatabilityFromString(std::string_view text) { return enumValue(repeatabilities, text); }
std::optional<TrafficClass> trafficClassFromString(std::string_view text) { return enumValue(trafficClasses, text); }
std::optional<ThinEvidencePolicy> thinEvidencePolicyFromString(std::string_view text) { return enumValue(thinEvidencePolicies, text); }
std::optional<MoveOutcome> moveOutcomeFromString(std::string_view text) { return enumValue(moveOutcomes, text); }
std::optional<MoveReason> moveReasonFromString(std::string_view text) { return enumValue(moveReasons, text); }

}
