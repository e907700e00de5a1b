#include "SharedLink.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::capacity::tests {

namespace {

    constexpr std::chrono::seconds minutes { 180 };
    /// An eighth of the objective and two pieces, on the slowest of these links.
    constexpr std::chrono::milliseconds waitBound { 30 };

    void checkWait(const LinkDemand& demand)
    {
        SharedLink link { demand };
        link.run(minutes);
        BOOST_TEST((link.longestWait <= waitBound),
            "a short answer waited " << std::chrono::duration_cast<std::chrono::milliseconds>(link.longestWait).count() << " ms with downloads of "
                                     << demand.downloads << " on a link of " << demand.carriedPart);
    }

}

BOOST_AUTO_TEST_SUITE(A_link_beside_downloads)

// Guards against a queue in front of the link that grows for as long as downloads wait.
BOOST_AUTO_TEST_CASE(Keeps_short_answers_waiting_for_a_bounded_time_for_minutes)
{
    for (const double downloads : { 0.9, 1.0, 1.2, 2.0 })
        checkWait({ .downloads = downloads });
}

BOOST_AUTO_TEST_CASE(Keeps_short_answers_waiting_for_a_bounded_time_where_the_link_carries_less_than_stated)
{
    for (const double downloads : { 0.9, 1.0, 1.2, 2.0 })
        checkWait({ .carriedPart = 0.9, .downloads = downloads });
}

BOOST_AUTO_TEST_CASE(Is_back_at_short_waits_after_a_burst_of_downloads)
{
    SharedLink link { { .downloads = 0.5 } };
    link.run(10s);
    link.setDownloads(4);
    link.run(10s);
    link.setDownloads(0.5);
    link.run(2s);
    link.run(20s);
    BOOST_TEST((link.longestWait <= waitBound));
}

BOOST_AUTO_TEST_CASE(Uses_the_room_that_other_bytes_leave)
{
    for (const double uncounted : { 0.02, 0.08, 0.3 }) {
        SharedLink link { { .downloads = 1.5, .uncounted = uncounted } };
        link.run(60s);
        BOOST_TEST(link.utilization >= 0.9);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
