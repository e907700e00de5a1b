#include "EntryFixture.h"

#include "carobpath/routing/UpstreamPicker.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace carobpath::routing::tests {

namespace {

    using membership::UpstreamState;

    /// A picker in failure domain amman-a, and the shares that it gives.
    struct PickerFixture {
        UpstreamPicker picker { std::mt19937_64 { 11 } };
        MonotonicTime now = startTime;

        explicit PickerFixture(std::vector<membership::KnownNode> nodes)
        {
            picker.setLocalNode(NodeName { "entry" }, FailureDomainName { "amman-a" });
            picker.setView(makeView(std::move(nodes)));
            // The first pick takes up the view.
            pick();
        }
        std::optional<UpstreamChoice> pick(const PickConstraints& constraints = {})
        {
            return picker.pick(ServiceName { "booking" }, VersionName { "v1" }, constraints, now);
        }
        /// Sends one call to the node and ends it.
        void call(const char* node, UpstreamSignal sign, std::chrono::nanoseconds latency = 5ms,
            std::chrono::milliseconds rest = {}, bool probe = false)
        {
            picker.onSent(NodeName { node }, probe);
            picker.onFinished(NodeName { node }, sign, latency, rest, now);
        }
        std::map<std::string, double> shares(int picks = 4000)
        {
            std::map<std::string, double> shares;
            for (int i = 0; i < picks; ++i) {
                if (const auto it = pick())
                    shares[it->node.value()] += 1.0 / picks;
            }
            return shares;
        }
        double shareOf(const char* node) { return shares()[node]; }
    };

    membership::KnownNode withLiveness(membership::KnownNode it, membership::Liveness liveness)
    {
        it.liveness = liveness;
        return it;
    }

    struct AvoidedRow {
        const char* name;
        membership::KnownNode other;
        bool takenAlone;
    };

}

BOOST_AUTO_TEST_SUITE(Picking)

BOOST_AUTO_TEST_CASE(What_leaves_or_is_doubted_is_passed_over_while_another_serves)
{
    auto leaving = makeNode("other", "v1");
    leaving.entry.leaving = true;
    const AvoidedRow rows[] {
        { "draining", makeNode("other", "v1", "amman-a", UpstreamState::Draining), false },
        { "down", makeNode("other", "v1", "amman-a", UpstreamState::Down), false },
        { "leaving", leaving, false },
        { "dead", withLiveness(makeNode("other", "v1"), membership::Liveness::Dead), false },
        { "another version", makeNode("other", "v2"), false },
        { "suspect", withLiveness(makeNode("other", "v1"), membership::Liveness::Suspect), true },
        { "cold", makeNode("other", "v1", "amman-a", UpstreamState::Cold), true },
    };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            PickerFixture fixture { { makeNode("sound", "v1", "amman-b"), row.other } };
            BOOST_TEST(fixture.shareOf("other") < 0.15);
            PickerFixture alone { { row.other } };
            BOOST_TEST(alone.pick().has_value() == row.takenAlone);
        }
    }
}

BOOST_AUTO_TEST_CASE(A_cold_upstream_gets_a_few_calls)
{
    PickerFixture fixture { { makeNode("warm", "v1"), makeNode("cold", "v1", "amman-a", UpstreamState::Cold) } };
    const double share = fixture.shareOf("cold");
    BOOST_TEST(share > 0.05);
    BOOST_TEST(share < 0.15);
}

BOOST_AUTO_TEST_CASE(The_own_failure_domain_is_preferred_until_it_is_clearly_worse)
{
    PickerFixture fixture { { makeNode("near", "v1", "amman-a"), makeNode("far", "v1", "amman-b") } };
    fixture.call("near", UpstreamSignal::Answered, 5ms);
    fixture.call("far", UpstreamSignal::Answered, 4ms);
    BOOST_TEST(fixture.shareOf("far") == 0.0);
    for (int i = 0; i < 20; ++i)
        fixture.call("near", UpstreamSignal::Answered, 50ms);
    BOOST_TEST(fixture.shareOf("near") == 0.0);
}

BOOST_AUTO_TEST_CASE(Load_that_nodes_spread_does_not_decide_against_what_calls_show)
{
    auto idleByItsWord = makeNode("slow", "v1");
    auto busyByItsWord = makeNode("fast", "v1");
    busyByItsWord.entry.upstream->inFlight = 6;
    busyByItsWord.entry.upstream->waiting = 1000;
    PickerFixture fixture { { idleByItsWord, busyByItsWord } };
    BOOST_TEST(fixture.shareOf("slow") > 0.9);
    for (int i = 0; i < 20; ++i) {
        fixture.call("slow", UpstreamSignal::Answered, 50ms);
        fixture.call("fast", UpstreamSignal::Answered, 5ms);
    }
    BOOST_TEST(fixture.shareOf("fast") > 0.9);
}

BOOST_AUTO_TEST_CASE(A_memory_of_a_slow_answer_fades_and_one_answer_renews_or_ends_it)
{
    for (const auto answer : { 500ms, 2ms }) {
        PickerFixture fixture { { makeNode("slow", "v1"), makeNode("fast", "v1") } };
        fixture.call("slow", UpstreamSignal::Answered, 500ms);
        for (int i = 0; i < 50; ++i)
            fixture.call("fast", UpstreamSignal::Answered, 5ms);
        BOOST_TEST(fixture.shareOf("slow") == 0.0);
        fixture.now += 2min;
        fixture.call("fast", UpstreamSignal::Answered, 5ms);
        BOOST_TEST(fixture.shareOf("slow") > 0.9);
        fixture.call("slow", UpstreamSignal::Answered, answer);
        BOOST_TEST((fixture.shareOf("slow") > 0.9) == (answer == 2ms));
    }
}

BOOST_AUTO_TEST_CASE(An_upstream_that_fails_in_a_row_is_ejected_and_tried_out_by_one_call)
{
    PickerFixture fixture { { makeNode("bad", "v1"), makeNode("good", "v1") } };
    for (std::uint32_t i = 0; i < UpstreamStatistics::s_ejectAfter; ++i)
        fixture.call("bad", UpstreamSignal::Unreachable);
    BOOST_TEST(fixture.shareOf("bad") == 0.0);
    const PickConstraints mayProbe { {}, true, false };
    BOOST_TEST(fixture.pick(mayProbe)->node.value() == "good");

    fixture.now += UpstreamStatistics::s_firstEjection;
    // A call that may not be repeated is no trial.
    BOOST_TEST(fixture.shareOf("bad") == 0.0);
    const auto probe = fixture.pick(mayProbe);
    BOOST_TEST(probe->node.value() == "bad");
    BOOST_TEST(probe->probe);
    fixture.picker.onSent(probe->node, true);
    BOOST_TEST(fixture.pick(mayProbe)->node.value() == "good");

    // A failed trial ejects for twice as long, a good one ends it.
    fixture.picker.onFinished(probe->node, UpstreamSignal::Unreachable, {}, {}, fixture.now);
    fixture.now += UpstreamStatistics::s_firstEjection;
    BOOST_TEST(fixture.pick(mayProbe)->node.value() == "good");
    fixture.now += UpstreamStatistics::s_firstEjection;
    fixture.call("bad", UpstreamSignal::Answered, 5ms, {}, true);
    BOOST_TEST(fixture.shareOf("bad") > 0.3);
}

BOOST_AUTO_TEST_CASE(An_ejected_upstream_is_taken_only_as_a_last_resort)
{
    PickerFixture fixture { { makeNode("only", "v1") } };
    for (std::uint32_t i = 0; i < UpstreamStatistics::s_ejectAfter; ++i)
        fixture.call("only", UpstreamSignal::Lost);
    BOOST_TEST(!fixture.pick().has_value());
    const auto last = fixture.pick({ {}, false, true });
    BOOST_REQUIRE(last);
    BOOST_TEST(last->freshConnection);
}

BOOST_AUTO_TEST_CASE(An_upstream_that_refused_for_load_rests_for_the_time_it_asked_for)
{
    PickerFixture fixture { { makeNode("busy", "v1"), makeNode("free", "v1") } };
    fixture.call("busy", UpstreamSignal::Overloaded, 1ms, 300ms);
    BOOST_TEST(fixture.shareOf("busy") == 0.0);
    fixture.now += 300ms;
    BOOST_TEST(fixture.shareOf("busy") > 0.3);
}

BOOST_AUTO_TEST_CASE(A_node_that_refused_as_leaving_is_passed_over_until_its_entry_changes)
{
    PickerFixture fixture { { makeNode("leaving", "v1") } };
    fixture.call("leaving", UpstreamSignal::NotServing);
    BOOST_TEST(!fixture.pick({ {}, false, true }).has_value());
    auto again = makeNode("leaving", "v1");
    ++again.entry.revision.sequence;
    fixture.picker.setView(makeView({ again }));
    fixture.now += UpstreamPicker::s_viewInterval;
    BOOST_TEST(fixture.pick().has_value());
}

BOOST_AUTO_TEST_CASE(Views_that_follow_each_other_fast_are_taken_up_within_a_bound)
{
    PickerFixture fixture { { makeNode("old", "v1") } };
    BOOST_TEST(fixture.pick()->node.value() == "old");
    fixture.picker.setView(makeView({ makeNode("skipped", "v1") }));
    fixture.now += 1ms;
    BOOST_TEST(fixture.pick()->node.value() == "old");
    fixture.picker.setView(makeView({ makeNode("new", "v1") }));
    fixture.now += UpstreamPicker::s_viewInterval;
    BOOST_TEST(fixture.pick()->node.value() == "new");
}

BOOST_AUTO_TEST_CASE(A_node_that_came_back_starts_without_its_old_failures)
{
    PickerFixture fixture { { makeNode("back", "v1") } };
    for (std::uint32_t i = 0; i < UpstreamStatistics::s_ejectAfter; ++i)
        fixture.call("back", UpstreamSignal::Unreachable);
    auto again = makeNode("back", "v1");
    again.entry.revision = { Incarnation { 2 }, 1 };
    fixture.picker.setView(makeView({ again }));
    fixture.now += UpstreamPicker::s_viewInterval;
    BOOST_TEST(fixture.pick().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
