#include "carobpath/capacity/LinkPacer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace carobpath::capacity::tests {

using namespace std::chrono_literals;

namespace {

    constexpr double narrowLink = 11e6 / 8;
    constexpr double fastLink = 1000e6 / 8;
    constexpr std::size_t downloadBytes = 90'000;
    constexpr MonotonicTime start { 1000s };

    /// A link that sends one byte after the other to receivers that acknowledge at once, and bodies that are always ready to be written.
    struct PacedLink {
        LinkPacer pacer;
        double bytesPerSecond;
        MonotonicTime now = start;
        MonotonicTime busyUntil = start;
        std::map<LinkPacer::BodyId, std::size_t> left;
        std::map<LinkPacer::BodyId, MonotonicTime> endedAt;
        /// Pieces in the order in which they were written, each with the time at which the link has sent it.
        struct Piece {
            LinkPacer::BodyId id;
            std::size_t bytes;
            MonotonicTime sentAt;
        };
        std::vector<Piece> onLink;
        std::size_t sentBytes = 0;
        std::chrono::nanoseconds longestWait {};

        explicit PacedLink(double rate)
            : pacer(rate)
            , bytesPerSecond(rate)
        {
        }

        LinkPacer::BodyId begin(std::size_t bytes, std::optional<MonotonicTime> objective = std::nullopt)
        {
            const auto id = pacer.addBody(objective);
            left[id] = bytes;
            ask(id);
            return id;
        }

        std::size_t pieceOf(LinkPacer::BodyId id) const { return std::min(left.at(id), pacer.pieceBytes()); }
        void ask(LinkPacer::BodyId id) { pacer.askTurn(id, pieceOf(id), now); }

        /// Packets carry headers beside the payload.
        void send(std::size_t payload)
        {
            const std::chrono::duration<double> transfer { static_cast<double>(payload) / LinkPacer::s_payloadShare / bytesPerSecond };
            busyUntil = std::max(busyUntil, now) + std::chrono::duration_cast<std::chrono::nanoseconds>(transfer);
            sentBytes += payload;
        }

        /// \returns how long the answer waits for the link.
        std::chrono::nanoseconds answerShortCall(std::chrono::nanoseconds objective, std::size_t bytes = 500)
        {
            pacer.onShortCall(objective, now);
            const std::chrono::nanoseconds wait = std::max<std::chrono::nanoseconds>(busyUntil - now, 0ns);
            send(bytes);
            pacer.onWritten(bytes, now);
            longestWait = std::max(longestWait, wait);
            return wait;
        }

        void acknowledge()
        {
            std::erase_if(onLink, [this](const auto& it) { return it.sentAt <= now; });
            std::map<LinkPacer::BodyId, std::size_t> unacknowledged;
            for (const auto& it : onLink)
                unacknowledged[it.id] += it.bytes;
            for (const auto& [id, bytes] : left) {
                if (!endedAt.contains(id))
                    pacer.onUnacknowledged(id, unacknowledged[id], now);
            }
        }

        void takeTurns()
        {
            acknowledge();
            while (const auto id = pacer.takeTurn(now)) {
                const auto n = pieceOf(*id);
                send(n);
                onLink.push_back({ *id, n, busyUntil });
                left[*id] -= n;
                if (left[*id] > 0) {
                    ask(*id);
                    continue;
                }
                pacer.removeBody(*id);
                endedAt[*id] = now;
            }
        }

        /// Timers are late by up to the step.
        void run(std::chrono::nanoseconds time, std::chrono::nanoseconds step = 2ms)
        {
            for (const auto end = now + time; now < end; now += step)
                takeTurns();
        }

        double utilization() const { return static_cast<double>(sentBytes) / LinkPacer::s_payloadShare / bytesPerSecond / std::chrono::duration<double> { now - start }.count(); }
    };

}

BOOST_AUTO_TEST_SUITE(The_link_pacer)

BOOST_AUTO_TEST_CASE(Does_not_pace_a_link_that_is_not_known)
{
    LinkPacer pacer { 0 };
    BOOST_TEST(!pacer.isPacing());
    pacer.onWritten(downloadBytes, start);
    BOOST_TEST((pacer.load(start).backlog == 0ns));
}

BOOST_AUTO_TEST_CASE(Keeps_the_link_busy_while_short_answers_wait_for_a_fraction_of_their_objective)
{
    PacedLink link { narrowLink };
    for (int i = 0; i < 10; ++i)
        link.begin(100 * downloadBytes);
    link.answerShortCall(150ms);
    link.run(100ms);
    link.longestWait = 0ns;
    for (int i = 0; i < 200; ++i) {
        link.answerShortCall(150ms);
        link.run(50ms);
    }
    BOOST_TEST((link.longestWait <= 150ms / 8));
    BOOST_TEST(link.utilization() >= 0.9);
}

BOOST_AUTO_TEST_CASE(Lets_the_backlog_grow_without_calls_that_are_urgent_and_shrinks_it_when_they_come)
{
    PacedLink link { narrowLink };
    BOOST_TEST((link.pacer.maxBacklog(link.now) == LinkPacer::s_maxBacklog));
    link.pacer.onShortCall(400ms, link.now);
    BOOST_TEST((link.pacer.maxBacklog(link.now) == 50ms));
    link.pacer.onShortCall(150ms, link.now);
    BOOST_TEST((link.pacer.maxBacklog(link.now) == 18'750us));
    link.pacer.onShortCall(1ms, link.now);
    BOOST_TEST((link.pacer.maxBacklog(link.now) == LinkPacer::s_minBacklog));
    BOOST_TEST((link.pacer.maxBacklog(link.now + 2 * LinkPacer::s_callMemory) == LinkPacer::s_maxBacklog));
}

BOOST_AUTO_TEST_CASE(Is_not_moved_by_a_call_whose_objective_has_passed)
{
    PacedLink link { narrowLink };
    link.pacer.onShortCall(0ms, link.now);
    link.pacer.onShortCall(-50ms, link.now);
    BOOST_TEST((link.pacer.maxBacklog(link.now) == LinkPacer::s_maxBacklog));
}

BOOST_AUTO_TEST_CASE(Counts_the_bytes_of_short_answers)
{
    PacedLink link { narrowLink };
    link.answerShortCall(150ms, 60'000);
    link.begin(downloadBytes);
    BOOST_TEST(!link.pacer.takeTurn(link.now).has_value());
    const auto at = link.pacer.nextTurn(link.now);
    BOOST_TEST_REQUIRE(at.has_value());
    BOOST_TEST((*at > link.now && *at < link.now + 60ms));
    BOOST_TEST((link.pacer.takeTurn(*at) == 1U));
}

BOOST_AUTO_TEST_CASE(Shares_the_link_evenly_between_bodies_without_an_objective)
{
    PacedLink link { narrowLink };
    const auto first = link.begin(100 * downloadBytes);
    link.run(1s);
    const auto second = link.begin(100 * downloadBytes);
    const auto third = link.begin(100 * downloadBytes);
    const auto before = link.left;
    link.run(2s);
    for (const auto id : { first, second, third }) {
        const auto share = static_cast<double>(before.at(id) - link.left.at(id)) / (2 * narrowLink * LinkPacer::s_payloadShare);
        BOOST_TEST(share > 0.3);
        BOOST_TEST(share < 0.37);
    }
}

BOOST_AUTO_TEST_CASE(Serves_the_earliest_objective_first)
{
    PacedLink link { narrowLink };
    const auto late = link.begin(downloadBytes, start + 2s);
    const auto early = link.begin(downloadBytes, start + 1s);
    link.run(1s);
    BOOST_TEST((link.endedAt.at(early) < link.endedAt.at(late)));
    BOOST_TEST((link.endedAt.at(early) <= start + 80ms));
}

BOOST_AUTO_TEST_CASE(Leaves_no_body_without_a_turn_for_long)
{
    PacedLink link { narrowLink };
    const auto without = link.begin(downloadBytes);
    for (int i = 0; i < 5; ++i)
        link.begin(100 * downloadBytes, start + 1s);
    auto left = link.left.at(without);
    for (int i = 0; i < 4; ++i) {
        link.run(LinkPacer::s_maxTurnWait + 150ms);
        BOOST_TEST(link.left.at(without) < left);
        left = link.left.at(without);
    }
}

BOOST_AUTO_TEST_CASE(Delays_nothing_on_a_fast_link)
{
    PacedLink link { fastLink };
    for (int i = 0; i < 20; ++i) {
        link.answerShortCall(150ms);
        const auto id = link.begin(downloadBytes);
        BOOST_TEST(link.pieceOf(id) == downloadBytes);
        link.takeTurns();
        BOOST_TEST((link.endedAt.at(id) == link.now));
        link.now += 1ms;
    }
}

BOOST_AUTO_TEST_CASE(Goes_on_beside_a_body_whose_receiver_reads_no_more)
{
    LinkPacer pacer { narrowLink };
    MonotonicTime now = start;
    const auto stalled = pacer.addBody(std::nullopt);
    while (pacer.load(now).backlog <= pacer.maxBacklog(now) - LinkPacer::s_pieceTime) {
        pacer.askTurn(stalled, pacer.pieceBytes(), now);
        BOOST_TEST_REQUIRE((pacer.takeTurn(now) == stalled));
    }
    const auto other = pacer.addBody(std::nullopt);
    pacer.askTurn(other, pacer.pieceBytes(), now);
    BOOST_TEST(!pacer.takeTurn(now).has_value());
    now += LinkPacer::s_stall + 1ms;
    BOOST_TEST((pacer.takeTurn(now) == other));
}

BOOST_AUTO_TEST_CASE(Forgets_a_body_that_was_removed_while_it_waited)
{
    PacedLink link { narrowLink };
    link.answerShortCall(150ms, 60'000);
    const auto id = link.begin(downloadBytes);
    BOOST_TEST(link.pacer.load(link.now).waiting == 1U);
    link.pacer.removeBody(id);
    BOOST_TEST(!link.pacer.nextTurn(link.now).has_value());
    BOOST_TEST(link.pacer.load(link.now).waiting == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
