#include "carobpath/foundation/EventLog.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace carobpath;
using namespace std::chrono_literals;

namespace {

constexpr WallTime start { 1'796'338'200'123ms };

struct Fixture {
    std::ostringstream out;
    HybridClock clock;
    EventLog log { out, "node/booking-1", Incarnation { 7 }, clock, [] { return start; } };
};

}

BOOST_FIXTURE_TEST_SUITE(Event_log, Fixture)

BOOST_AUTO_TEST_CASE(An_event_is_one_line_with_its_fields_after_the_common_ones)
{
    log.record(Event(event::started).with("callers", Endpoint { "127.0.0.1", 8000 }).with("slots", 6U).with("member", MemberName("petra")).with("isCold", true).with("waitMs", 1500us).with("nodes", std::vector<std::string> { "a", "b" }));
    BOOST_TEST(out.str() == "{\"at\":\"2026-12-03T22:50:00.123Z\",\"hybrid\":\"1796338200123.0\",\"process\":\"node/booking-1\",\"incarnation\":7,\"event\":\"started\","
                            "\"callers\":\"127.0.0.1:8000\",\"slots\":6,\"member\":\"petra\",\"isCold\":true,\"waitMs\":1.5,\"nodes\":[\"a\",\"b\"]}\n");
}

BOOST_AUTO_TEST_CASE(Each_event_gets_a_later_hybrid_time)
{
    const auto first = log.record(Event(event::started));
    BOOST_TEST((log.record(Event(event::ready)) > first));
}

BOOST_AUTO_TEST_CASE(Text_that_breaks_lines_or_is_no_UTF_8_stays_one_line_of_JSON)
{
    log.record(Event(event::callEnded).with("path", "/a\nb\xff\"c"));
    const std::string text = out.str();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
    BOOST_TEST(nlohmann::json::accept(text));
}

BOOST_AUTO_TEST_SUITE_END()
