#include "internal/SettingsConversions.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::node::Detail {

namespace {

    constexpr std::uint64_t mebibyte = 1024ULL * 1024;
    constexpr std::uint64_t heldSetting = 96 * mebibyte;
    constexpr std::uint64_t largestBody = 64 * mebibyte;

    std::uint64_t heldBytesWith(double memoryMegabytes)
    {
        NodeSettings settings;
        settings.limits.heldBytes = heldSetting;
        settings.limits.memoryMegabytes = memoryMegabytes;
        return limitsOf(settings).heldBytes;
    }

}

BOOST_AUTO_TEST_SUITE(Settings_of_limits)

// Guards against a process that is ended since its requests alone take most of a small instance's memory.
BOOST_AUTO_TEST_CASE(Requests_hold_half_of_the_memory_of_a_small_instance_and_the_largest_body_still_fits)
{
    constexpr double smallestInstance = 160;
    const auto held = heldBytesWith(smallestInstance);
    BOOST_TEST(held == 80'000'000U);
    // A sixteenth is kept for small requests.
    BOOST_TEST(held - held / 16 >= largestBody);
}

BOOST_AUTO_TEST_CASE(Requests_hold_as_much_as_the_setting_says_where_the_memory_is_large)
{
    BOOST_TEST(heldBytesWith(512) == heldSetting);
    BOOST_TEST(heldBytesWith(0) == heldSetting);
}

BOOST_AUTO_TEST_SUITE_END()

}
