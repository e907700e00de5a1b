#include "CrowdScripts.h"
#include "Eventually.h"
#include "Fleet.h"
#include "MemoryUse.h"
#include "Objects.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;
using namespace carobpath::harness::crowds;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t callers = 580;
/// Memory of the process, with what the kernel has received for it and it has not read: half of the smallest instance, for less than half of its
/// connections.
constexpr std::size_t memoryBytes = 80 * megabyte;

const std::string settings = "timeouts: {caller-header: 120s, caller-idle: 120s}\n"
                             "limits: {body-bytes: 1MiB, held-bytes: 32MiB, caller-connections: 600}\n";

struct OneInstance {
    Fleet fleet;

    OneInstance()
    {
        fleet.add("amman-a", {}, settings);
        fleet.publishBooking();
    }

    using ScriptOf = std::function<CrowdScript(std::size_t)>;

    void checkMemory(const ScriptOf& scriptOf) { checkMemory(fleet.node(0).callers(), scriptOf); }

    void checkMemory(const std::string& listener, const ScriptOf& scriptOf)
    {
        auto& node = fleet.node(0);
        MemoryUse use(node.process().id(), listener);
        Crowd crowd(listener, callers, scriptOf);
        crowd.send();
        const auto peak = use.stop();
        BOOST_REQUIRE(node.process().isRunning());
        BOOST_TEST_MESSAGE("peak " << peak.total << " bytes, of the process " << peak.process << ", unread " << peak.unread << ", " << crowd.open() << " callers");
        eventually("an ordinary request is answered", [&] {
            return call(node.callers(), { "GET", objects::bookingHost, "/ordinary", "", {}, 10s }).status == 200U;
        });
        BOOST_TEST(node.process().isRunning());
        BOOST_TEST(peak.total <= memoryBytes);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Memory_of_an_instance_with_crowds_of_callers, OneInstance)

BOOST_AUTO_TEST_CASE(Bodies_whole_at_once)
{
    checkMemory([](std::size_t caller) { return stated(caller, mebibyte, 2 * mebibyte); });
}

BOOST_AUTO_TEST_CASE(Bodies_piece_by_piece)
{
    checkMemory([](std::size_t caller) { return stated(caller, mebibyte, 4 * kibibyte); });
}

BOOST_AUTO_TEST_CASE(Chunked_bodies_in_large_chunks)
{
    checkMemory([](std::size_t caller) { return chunked(caller, "4000", 16 * kibibyte, mebibyte); });
}

BOOST_AUTO_TEST_CASE(Chunked_bodies_in_chunks_of_one_byte)
{
    checkMemory([](std::size_t caller) { return chunked(caller, "1", 1, 96 * kibibyte); });
}

BOOST_AUTO_TEST_CASE(Small_bodies_one_byte_short)
{
    checkMemory([](std::size_t caller) { return stated(caller, 60 * kibibyte, 4 * kibibyte); });
}

BOOST_AUTO_TEST_CASE(Bodies_far_over_the_limit_announced)
{
    checkMemory([](std::size_t caller) { return stated(caller, 8 * mebibyte, 64 * kibibyte); });
}

BOOST_AUTO_TEST_CASE(Bodies_far_over_the_limit_just_sent)
{
    checkMemory([](std::size_t caller) { return chunked(caller, "10000", 64 * kibibyte, 8 * mebibyte); });
}

BOOST_AUTO_TEST_CASE(Bodies_sent_to_the_admin_address)
{
    checkMemory(fleet.node(0).admin(), [](std::size_t caller) { return stated(caller, mebibyte, 64 * kibibyte); });
}

BOOST_AUTO_TEST_SUITE_END()
