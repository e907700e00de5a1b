#include "carobpath/foundation/EventLog.h"
#include "carobpath/foundation/LineRate.h"
#include "carobpath/foundation/NonBlockingOutput.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <sstream>
#include <unistd.h>

using namespace carobpath;
using namespace std::chrono_literals;

namespace {

struct Pipe {
    std::array<int, 2> ends {};

    Pipe() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;
};

}

BOOST_AUTO_TEST_SUITE(Bounded_logs)

BOOST_AUTO_TEST_CASE(Lines_beyond_the_rate_are_left_out_and_counted_with_the_next_one)
{
    LineRate rate;
    const MonotonicTime start { 100s };
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += rate.next(start) ? 1 : 0;
    BOOST_TEST(written == static_cast<int>(LineRate::s_burst));
    const auto leftOut = rate.next(start + 1s);
    BOOST_REQUIRE(leftOut.has_value());
    BOOST_TEST(*leftOut == 1000 - LineRate::s_burst);
    BOOST_TEST(*rate.next(start + 1s) == 0);
}

BOOST_AUTO_TEST_CASE(A_pipe_that_nobody_reads_never_holds_the_writer_up)
{
    const Pipe pipe;
    NonBlockingOutput out(pipe.ends[1]);
    HybridClock clock;
    EventLog log { out, "node/a", Incarnation { 1 }, clock };
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 20'000; ++i)
        log.record(Event(event::callEnded).with("text", std::string(200, 'x')));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 10s));
}

BOOST_AUTO_TEST_CASE(What_a_full_pipe_lost_is_told_once_it_is_read_again)
{
    const Pipe pipe;
    NonBlockingOutput out(pipe.ends[1]);
    HybridClock clock;
    EventLog log { out, "node/a", Incarnation { 1 }, clock };
    for (int i = 0; i < 299; ++i)
        log.record(Event(event::callEnded).with("text", std::string(900, 'x')));
    std::string read(1 << 20, '\0');
    BOOST_REQUIRE(::read(pipe.ends[0], read.data(), read.size()) > 0);
    log.record(Event(event::callEnded));
    const auto n = ::read(pipe.ends[0], read.data(), read.size());
    BOOST_REQUIRE(n > 0);
    const auto line = nlohmann::json::parse(read.substr(0, static_cast<std::size_t>(n)));
    BOOST_TEST(line["leftOut"].get<int>() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
