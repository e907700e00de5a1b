#include "CrowdScripts.h"
#include "Eventually.h"
#include "Fleet.h"
#include "FleetPair.h"
#include "Objects.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace carobpath::harness;
using namespace carobpath::harness::crowds;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t callers = 250;
constexpr std::size_t callerConnections = 240;
/// Memory of the smallest instance.
constexpr std::size_t memoryKilobytes = 160'000;
constexpr std::size_t pooledConnections = 64;
constexpr std::size_t ownDescriptors = 64;
/// Both listeners, unused connections to other nodes and to the backend server, and the process's own.
constexpr std::size_t descriptors = 2 * callerConnections + 2 * pooledConnections + ownDescriptors;

const std::string settings = "timeouts: {caller-header: 120s, caller-idle: 120s}\n"
                             "limits: {body-bytes: 1MiB, caller-connections: 240}\n";

struct OneInstance {
    Fleet fleet;

    OneInstance()
    {
        fleet.add("amman-a", {}, settings);
        fleet.publishBooking();
    }

    std::filesystem::path processFile(const std::string& name)
    {
        return std::filesystem::path("/proc") / std::to_string(fleet.node(0).process().id()) / name;
    }

    std::size_t peakKilobytes()
    {
        std::ifstream status(processFile("status"));
        std::string word;
        while (status >> word && word != "VmHWM:") { }
        std::size_t kilobytes = 0;
        status >> kilobytes;
        return kilobytes * kibibyte / 1000;
    }

    std::size_t openDescriptors()
    {
        const std::filesystem::directory_iterator files(processFile("fd"));
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    void checkStands(const std::function<CrowdScript(std::size_t)>& scriptOf)
    {
        Crowd crowd(fleet.node(0).callers(), callers, scriptOf);
        crowd.send();
        BOOST_REQUIRE(fleet.node(0).process().isRunning());
        BOOST_TEST_MESSAGE("peak " << peakKilobytes() << " kB, " << openDescriptors() << " descriptors, " << crowd.open() << " callers");
        BOOST_TEST(openDescriptors() <= descriptors);
        eventually("an ordinary request is answered", [&] {
            return call(fleet.node(0).callers(), { "GET", objects::bookingHost, "/ordinary", "", {}, 10s }).status == 200U;
        });
        BOOST_TEST(fleet.node(0).process().isRunning());
        BOOST_TEST(peakKilobytes() <= memoryKilobytes);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Crowds_of_callers, OneInstance)

BOOST_AUTO_TEST_CASE(Bodies_of_legal_size_whole_at_once)
{
    checkStands([](std::size_t caller) { return stated(caller, mebibyte, 2 * mebibyte); });
}

BOOST_AUTO_TEST_CASE(Bodies_of_legal_size_piece_by_piece)
{
    checkStands([](std::size_t caller) { return stated(caller, mebibyte, 4 * kibibyte); });
}

BOOST_AUTO_TEST_CASE(Chunked_bodies_in_large_chunks)
{
    checkStands([](std::size_t caller) { return chunked(caller, "10000", 64 * kibibyte, mebibyte); });
}

BOOST_AUTO_TEST_CASE(Chunked_bodies_in_chunks_of_one_byte)
{
    checkStands([](std::size_t caller) { return chunked(caller, "1", 1, 128 * kibibyte); });
}

BOOST_AUTO_TEST_CASE(Bodies_far_over_the_limit_announced)
{
    checkStands([](std::size_t) {
        CrowdScript it;
        it.start = post("Content-Length: " + std::to_string(8 * mebibyte));
        it.pattern = std::string(kibibyte, 'd');
        it.repeats = 8 * mebibyte / kibibyte;
        return it;
    });
}

BOOST_AUTO_TEST_CASE(Bodies_far_over_the_limit_just_sent)
{
    checkStands([](std::size_t caller) { return chunked(caller, "10000", 64 * kibibyte, 8 * mebibyte); });
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Two nodes with the limits of the deploy file, and one backend server, beside the second.
struct OneServer : FleetPair {
    OneServer()
    {
        serve();
        auto patient = fleetConfiguration;
        patient.replace(patient.find("\"r3\""), 4, "\"r4\"");
        for (auto at = patient.find("\"timeout-s\":2,"); at != std::string::npos; at = patient.find("\"timeout-s\":2,"))
            patient.replace(at, 14, "\"timeout-s\":30,");
        putOrder(store.endpoint(), "config", patient);
        BOOST_REQUIRE(b.announce("i-b", "ready", 1) == 200U);
        for (const auto* node : { &a, &b })
            eventually("calls are served", [&] { return call(node->outbound(), fleetRequest("/shop/1", "c-" + std::to_string(++calls))).status == 200U; });
    }

    void checkLargestBody(const FleetNode& entry)
    {
        constexpr std::size_t largest = 64 * mebibyte;
        auto request = fleetRequest("/shop/orders/1", "c-" + std::to_string(++calls), "POST");
        request.headers["Carobpath-Deadline-Remaining-Ms"] = "30000";
        request.body = std::string(largest, 'b');
        const auto bytes = [&] {
            std::string text = "POST /shop/orders/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n";
            for (const auto& [name, value] : request.headers)
                text.append(name).append(": ").append(value).append("\r\n");
            return text + "Content-Length: " + std::to_string(largest) + "\r\n\r\n" + request.body;
        }();
        const auto answer = exchangeBytes(entry.outbound(), bytes, 30s);
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer.substr(0, 300));
        BOOST_TEST(answer.find(request.body) != std::string::npos, "the answer does not hold the whole body");
    }

    int calls = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(A_single_large_request, OneServer)

BOOST_AUTO_TEST_CASE(The_largest_legal_body_is_served_over_another_node) { checkLargestBody(a); }

BOOST_AUTO_TEST_CASE(The_largest_legal_body_is_served_by_the_node_that_it_entered) { checkLargestBody(b); }

BOOST_AUTO_TEST_SUITE_END()
