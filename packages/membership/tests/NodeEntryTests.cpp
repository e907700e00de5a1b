#include "carobpath/membership/NodeEntry.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::membership {

BOOST_AUTO_TEST_SUITE(NodeEntries)

BOOST_AUTO_TEST_CASE(A_later_incarnation_is_newer_than_any_sequence_of_an_earlier_one)
{
    const Revision earlier { Incarnation { 1 }, 900 };
    const Revision later { Incarnation { 2 }, 0 };
    BOOST_TEST((earlier < later));
}

BOOST_AUTO_TEST_CASE(Upstream_states_round_trip_through_text)
{
    for (const auto it : { UpstreamState::Cold, UpstreamState::Ready, UpstreamState::Draining, UpstreamState::Down })
        BOOST_TEST((upstreamStateFromString(toString(it)) == it));
}

BOOST_AUTO_TEST_SUITE_END()

}
