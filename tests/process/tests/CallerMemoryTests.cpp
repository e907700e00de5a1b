#include "Crowd.h"
#include "Eventually.h"
#include "Fleet.h"
#include "MemoryUse.h"
#include "Objects.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t callers = 580;
/// Half of the smallest instance, beside less than half of its limits: what the process holds, and what the kernel has received for it and it
/// has not read.
constexpr std::size_t memoryBytes = 80 * megabyte;
/// One caller of this many sends its request to the end.
constexpr std::size_t wholeEvery = 10;

const std::string settings = "timeouts: {caller-header: 120s, caller-idle: 120s}\n"
                             "limits: {body-bytes: 1MiB, held-bytes: 32MiB, caller-connections: 600}\n";

std::string post(const std::string& framing)
{
    return "POST /booking HTTP/1.1\r\nHost: " + std::string(objects::bookingHost) + "\r\n" + framing + "\r\n\r\n";
}

bool isWhole(std::size_t caller) { return caller % wholeEvery == 0; }

/// A body of a stated length; all but one caller of ten stop one byte short of it.
CrowdScript stated(std::size_t caller, std::size_t bodyBytes, std::size_t pieceBytes)
{
    CrowdScript it;
    it.start = post("Content-Length: " + std::to_string(bodyBytes));
    it.pattern = std::string(kibibyte, 'b');
    it.repeats = bodyBytes / kibibyte - 1;
    it.end = std::string(isWhole(caller) ? kibibyte : kibibyte - 1, 'b');
    it.pieceBytes = pieceBytes;
    return it;
}

/// A chunked body; all but one caller of ten stop one byte short of its end.
CrowdScript chunked(std::size_t caller, const std::string& sizeLine, std::size_t chunkBytes, std::size_t bodyBytes)
{
    CrowdScript it;
    it.start = post("Transfer-Encoding: chunked");
    it.pattern = sizeLine + "\r\n" + std::string(chunkBytes, 'c') + "\r\n";
    it.repeats = bodyBytes / chunkBytes;
    it.end = isWhole(caller) ? "0\r\n\r\n" : "0\r\n\r";
    return it;
}

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
