#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// A server with all slots taken that works on them one turn after the other and refuses some calls.
    struct BusyServer : AdmissionFixture {
        std::vector<RequestId> running;

        BusyServer() { warmUp(); }

        void fill()
        {
            while (running.size() < controller.limit()) {
                running.push_back(request().id);
                auto it = request();
                it.id = running.back();
                arrive(it);
            }
        }

        void endFirst(BackendResult result)
        {
            const auto id = running.front();
            running.erase(running.begin());
            finish(id, result);
        }
    };

}

BOOST_AUTO_TEST_SUITE(The_limit_of_calls_at_a_time)

BOOST_AUTO_TEST_CASE(Stays_where_the_server_refuses_half_of_its_calls_and_answers_as_many_at_a_time)
{
    BusyServer server;
    for (int i = 0; i < 200; ++i) {
        server.fill();
        server.now += 20ms;
        server.endFirst(i % 2 == 0 ? BackendResult::Answered : BackendResult::Refused);
    }
    BOOST_TEST(server.controller.limit() == 6U);
}

BOOST_AUTO_TEST_CASE(Falls_where_the_server_refuses_what_is_beyond_four_calls_at_a_time)
{
    BusyServer server;
    std::uint32_t lowest = 6;
    for (int i = 0; i < 200; ++i) {
        server.fill();
        server.now += 20ms;
        server.endFirst(server.running.size() > 4 ? BackendResult::Refused : BackendResult::Answered);
        lowest = std::min(lowest, server.controller.limit());
    }
    BOOST_TEST(lowest <= 4U);
}

BOOST_AUTO_TEST_CASE(Falls_where_the_server_refuses_all_its_calls)
{
    BusyServer server;
    server.now += 2s;
    for (int i = 0; i < 20; ++i) {
        server.fill();
        server.now += 120ms;
        server.endFirst(BackendResult::Refused);
    }
    BOOST_TEST(server.controller.limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
