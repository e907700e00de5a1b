#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// A server whose slots are all occupied. It finishes calls in order of arrival and refuses some.
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

        void finishFirst(BackendResult result)
        {
            const auto id = running.front();
            running.erase(running.begin());
            finish(id, result);
        }
    };

}

BOOST_AUTO_TEST_SUITE(The_concurrency_limit)

BOOST_AUTO_TEST_CASE(Is_kept_if_the_server_answers_half_of_its_calls_at_the_same_concurrency)
{
    BusyServer server;
    for (int i = 0; i < 200; ++i) {
        server.fill();
        server.now += 20ms;
        server.finishFirst(i % 2 == 0 ? BackendResult::Answered : BackendResult::Refused);
    }
    BOOST_TEST(server.controller.limit() == 6U);
}

BOOST_AUTO_TEST_CASE(Falls_if_the_server_refuses_more_than_four_concurrent_calls)
{
    BusyServer server;
    std::uint32_t lowest = 6;
    for (int i = 0; i < 200; ++i) {
        server.fill();
        server.now += 20ms;
        server.finishFirst(server.running.size() > 4 ? BackendResult::Refused : BackendResult::Answered);
        lowest = std::min(lowest, server.controller.limit());
    }
    BOOST_TEST(lowest <= 4U);
}

BOOST_AUTO_TEST_CASE(Falls_to_one_if_the_server_refuses_all_calls)
{
    BusyServer server;
    server.now += 2s;
    for (int i = 0; i < 20; ++i) {
        server.fill();
        server.now += 120ms;
        server.finishFirst(BackendResult::Refused);
    }
    BOOST_TEST(server.controller.limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
