#include "carobpath/publication/EnumText.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

BOOST_AUTO_TEST_SUITE(EnumTexts)

BOOST_AUTO_TEST_CASE(Values_are_unchanged_after_conversion_to_text_and_back)
{
    BOOST_TEST((repeatabilityFromString(toString(Repeatability::Repeatable)) == Repeatability::Repeatable));
    BOOST_TEST((trafficClassFromString(toString(TrafficClass::Download)) == TrafficClass::Download));
    BOOST_TEST((thinEvidencePolicyFromString(toString(ThinEvidencePolicy::Finish)) == ThinEvidencePolicy::Finish));
    BOOST_TEST((moveOutcomeFromString(toString(MoveOutcome::TakenBack)) == MoveOutcome::TakenBack));
    BOOST_TEST((moveReasonFromString(toString(MoveReason::Latency)) == MoveReason::Latency));
}

BOOST_AUTO_TEST_CASE(Unknown_text_gives_no_value)
{
    BOOST_TEST(!repeatabilityFromString("twice"));
    BOOST_TEST(!moveOutcomeFromString(""));
}

BOOST_AUTO_TEST_SUITE_END()

}
