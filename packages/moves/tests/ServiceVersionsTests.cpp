#include "carobpath/moves/ServiceVersions.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>
#include <string>

namespace carobpath::moves {

BOOST_AUTO_TEST_SUITE(VersionsOfAService)

BOOST_AUTO_TEST_CASE(The_oldest_rejected_version_is_forgotten_first)
{
    ServiceVersions versions;
    for (std::size_t i = 0; i <= ServiceVersions::s_maxRejected; ++i)
        versions = versions.afterMove(VersionName { "v" + std::to_string(i) }, OrderedMoveState::TakenBack);
    BOOST_TEST(versions.rejected.size() == ServiceVersions::s_maxRejected);
    BOOST_TEST(!versions.isRejected(VersionName { "v0" }));
    BOOST_TEST(versions.isRejected(VersionName { "v1" }));
}

// A model keeps what each move showed: the version in service, and the versions that were not proven since they were ordered.
BOOST_AUTO_TEST_CASE(Over_any_series_of_moves_the_unproven_versions_are_rejected_and_the_one_in_service_is_not)
{
    constexpr std::uint64_t seeds = 200;
    constexpr int moves = 60;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        std::mt19937_64 random { seed };
        ServiceVersions versions { { VersionName { "v0" } }, {} };
        VersionName serving { "v0" };
        std::set<VersionName> unproven;
        for (int i = 0; i < moves; ++i) {
            const VersionName to { "v" + std::to_string(random() % 8) };
            const auto state = static_cast<OrderedMoveState>(random() % 3);
            versions.readmit(to);
            versions = versions.afterMove(to, state);
            unproven.erase(to);
            if (state == OrderedMoveState::Done)
                serving = to;
            else if (to != serving)
                unproven.insert(to);
            BOOST_TEST_CONTEXT("seed " << seed << ", move " << i)
            {
                BOOST_TEST(versions.isOnlyServing(serving));
                BOOST_TEST((std::set<VersionName>(versions.rejected.begin(), versions.rejected.end()) == unproven));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
