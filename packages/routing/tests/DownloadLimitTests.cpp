#include "AdmissionFixture.h"

#include "carobpath/routing/DownloadLimit.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace carobpath::routing::tests {

namespace {

    constexpr double tenMegabits = 1'250'000;
    constexpr std::uint64_t answerBytes = 90'000;
    constexpr auto workTime = 130ms;

    AdmissionPolicy policyOf(double linkBytesPerSecond)
    {
        AdmissionPolicy it;
        it.order.byObjective = true;
        it.linkBytesPerSecond = linkBytesPerSecond;
        return it;
    }

    /// A server of six slots behind a link of 10 Mbit/s, which bears 14 downloads a second. Answers share the link in turn.
    struct LinkRun {
        AdmissionFixture fixture;
        std::map<MonotonicTime, std::vector<AdmissionRequest>> ends;
        std::map<RequestId, MonotonicTime> dispatchedAt;
        MonotonicTime linkFreeAt { 1000s };
        int inTime = 0;
        std::chrono::nanoseconds longestLinkQueue {};

        explicit LinkRun(const AdmissionPolicy& policy)
            : fixture(makeUpstream(), policy)
        {
        }

        void dispatch(const AdmissionRequest& it)
        {
            ends[fixture.now + workTime].push_back(it);
            dispatchedAt[it.id] = fixture.now;
        }

        /// The answer is written to a socket at once and leaves after those before it.
        void send(const AdmissionRequest& it)
        {
            const auto transfer = std::chrono::nanoseconds { static_cast<std::int64_t>(answerBytes / tenMegabits * 1e9) };
            const auto begin = std::max(fixture.now, linkFreeAt);
            longestLinkQueue = std::max(longestLinkQueue, std::chrono::nanoseconds { begin - fixture.now });
            linkFreeAt = begin + transfer;
            inTime += linkFreeAt <= *it.objective ? 1 : 0;
        }

        void take(const AdmissionCommands& commands, std::map<RequestId, AdmissionRequest>& known)
        {
            for (const auto& it : commands) {
                if (const auto* dispatched = std::get_if<Dispatch>(&it))
                    dispatch(known.at(dispatched->id));
            }
        }

        void run(int callsPerSecond, std::chrono::seconds time)
        {
            std::map<RequestId, AdmissionRequest> known;
            auto next = fixture.now;
            const auto end = fixture.now + time;
            for (; fixture.now < end; fixture.now += 1ms) {
                while (!ends.empty() && ends.begin()->first <= fixture.now) {
                    const auto ended = ends.extract(ends.begin());
                    for (const auto& it : ended.mapped()) {
                        send(it);
                        take(fixture.controller.onFinished({ it.id, BackendResult::Answered, fixture.now - dispatchedAt.at(it.id), answerBytes }, fixture.now), known);
                    }
                }
                take(fixture.controller.onTick(fixture.now), known);
                for (; next <= fixture.now; next += std::chrono::microseconds { 1'000'000 / callsPerSecond }) {
                    auto it = fixture.download();
                    it.objective = fixture.now + 800ms;
                    known.emplace(it.id, it);
                    take(fixture.arrive(it), known);
                }
            }
        }
    };

}

BOOST_AUTO_TEST_SUITE(The_limit_of_downloads)

BOOST_AUTO_TEST_CASE(Is_none_before_an_answer_and_where_the_link_is_not_known)
{
    const MonotonicTime now { 1000s };
    DownloadLimit unknown { 0 };
    unknown.onAnswered(answerBytes, 0ms, now);
    BOOST_TEST(unknown.value(now) > 1'000'000U);
    BOOST_TEST(DownloadLimit { tenMegabits }.value(now) > 1'000'000U);
}

BOOST_AUTO_TEST_CASE(Is_what_the_link_sends_in_a_quarter_of_a_second_and_at_least_one)
{
    MonotonicTime now { 1000s };
    DownloadLimit limit { tenMegabits };
    limit.onAnswered(answerBytes, 100ms, now);
    BOOST_TEST(limit.value(now) == 3U);
    for (int i = 0; i < 100; ++i)
        limit.onAnswered(2'000'000, 10s, now += 10s);
    BOOST_TEST(limit.value(now) == 1U);
}

BOOST_AUTO_TEST_CASE(Is_none_while_the_link_is_busy_with_answers_that_were_written_at_once)
{
    const MonotonicTime now { 1000s };
    DownloadLimit limit { tenMegabits };
    for (int i = 0; i < 5; ++i)
        limit.onAnswered(answerBytes, 0ms, now);
    BOOST_TEST(limit.value(now) == 0U);
    BOOST_TEST((limit.untilOpen(now) == 110ms));
    BOOST_TEST(limit.value(now + 120ms) == 1U);
    BOOST_TEST(limit.value(now + 400ms) == 3U);
}

BOOST_AUTO_TEST_CASE(Keeps_the_link_short_of_a_queue_above_what_it_bears)
{
    LinkRun run { policyOf(tenMegabits) };
    run.run(25, 20s);
    const int borne = 13 * 20;
    BOOST_TEST(run.inTime >= borne * 8 / 10);
    BOOST_TEST((run.longestLinkQueue <= 450ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
