#include "EntryFixture.h"

#include "carobpath/routing/UpstreamPicker.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace carobpath::routing::tests {

namespace {

    using membership::UpstreamState;

    /// A picker in failure domain amman-a that measures the share of picks of each node.
    struct PickerFixture {
        UpstreamPicker picker { std::mt19937_64 { 11 } };
        MonotonicTime now = startTime;

        explicit PickerFixture(std::vector<membership::KnownNode> nodes)
        {
            picker.setLocalNode(NodeName { "entry" }, FailureDomainName { "amman-a" });
            picker.setView(makeView(std::move(nodes)));
            // The first pick applies the view.
            pick();
        }
        std::optional<UpstreamChoice> pick(const PickConstraints& constraints = {})
        {
            return picker.pick(ServiceName { "booking" }, VersionName { "v1" }, constraints, now);
        }
        /// Sends one call to the node and ends it with the signal.
        void call(const char* node, UpstreamSignal signal, std::chrono::nanoseconds latency = 5ms,
            std::chrono::milliseconds cooldown = {}, bool probe = false)
        {
            picker.onSent(NodeName { node }, probe);
            picker.onFinished(NodeName { node }, signal, latency, cooldown, now);
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

    struct SkippedUpstreamRow {
        const char* name;
        membership::KnownNode other;
        bool isPickedAlone;
    };

}

BOOST_AUTO_TEST_SUITE(Upstream_picker)

BOOST_AUTO_TEST_CASE(A_leaving_or_suspect_upstream_is_skipped_while_another_one_serves)
{
    auto leaving = makeNode("other", "v1");
    leaving.entry.leaving = true;
    const SkippedUpstreamRow rows[] {
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
            BOOST_TEST(alone.pick().has_value() == row.isPickedAlone);
        }
    }
}

BOOST_AUTO_TEST_CASE(A_cold_upstream_receives_a_small_share_of_the_calls)
{
    PickerFixture fixture { { makeNode("warm", "v1"), makeNode("cold", "v1", "amman-a", UpstreamState::Cold) } };
    const double share = fixture.shareOf("cold");
    BOOST_TEST(share > 0.05);
    BOOST_TEST(share < 0.15);
}

BOOST_AUTO_TEST_CASE(The_local_failure_domain_is_preferred_until_it_is_clearly_worse)
{
    PickerFixture fixture { { makeNode("near", "v1", "amman-a"), makeNode("far", "v1", "amman-b") } };
    fixture.call("near", UpstreamSignal::Answered, 5ms);
    fixture.call("far", UpstreamSignal::Answered, 4ms);
    BOOST_TEST(fixture.shareOf("far") == 0.0);
    for (int i = 0; i < 20; ++i)
        fixture.call("near", UpstreamSignal::Answered, 50ms);
    BOOST_TEST(fixture.shareOf("near") == 0.0);
}

BOOST_AUTO_TEST_CASE(Observed_latency_outweighs_the_load_that_nodes_gossip)
{
    auto reportedIdle = makeNode("slow", "v1");
    auto reportedBusy = makeNode("fast", "v1");
    reportedBusy.entry.upstream->inFlight = 6;
    reportedBusy.entry.upstream->waiting = 1000;
    PickerFixture fixture { { reportedIdle, reportedBusy } };
    BOOST_TEST(fixture.shareOf("slow") > 0.9);
    for (int i = 0; i < 20; ++i) {
        fixture.call("slow", UpstreamSignal::Answered, 50ms);
        fixture.call("fast", UpstreamSignal::Answered, 5ms);
    }
    BOOST_TEST(fixture.shareOf("fast") > 0.9);
}

BOOST_AUTO_TEST_CASE(The_latency_of_a_slow_answer_decays_and_the_next_answer_confirms_or_replaces_it)
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

BOOST_AUTO_TEST_CASE(An_upstream_with_consecutive_failures_is_ejected_and_probed_by_one_call)
{
    PickerFixture fixture { { makeNode("bad", "v1"), makeNode("good", "v1") } };
    for (std::uint32_t i = 0; i < UpstreamStatistics::s_ejectAfter; ++i)
        fixture.call("bad", UpstreamSignal::Unreachable);
    BOOST_TEST(fixture.shareOf("bad") == 0.0);
    const PickConstraints mayProbe { {}, true, false };
    BOOST_TEST(fixture.pick(mayProbe)->node.value() == "good");

    fixture.now += UpstreamStatistics::s_initialEjection;
    // A call that may not be repeated does not probe.
    BOOST_TEST(fixture.shareOf("bad") == 0.0);
    const auto probe = fixture.pick(mayProbe);
    BOOST_TEST(probe->node.value() == "bad");
    BOOST_TEST(probe->probe);
    fixture.picker.onSent(probe->node, true);
    BOOST_TEST(fixture.pick(mayProbe)->node.value() == "good");

    // A failed probe doubles the ejection time; a successful one ends the ejection.
    fixture.picker.onFinished(probe->node, UpstreamSignal::Unreachable, {}, {}, fixture.now);
    fixture.now += UpstreamStatistics::s_initialEjection;
    BOOST_TEST(fixture.pick(mayProbe)->node.value() == "good");
    fixture.now += UpstreamStatistics::s_initialEjection;
    fixture.call("bad", UpstreamSignal::Answered, 5ms, {}, true);
    BOOST_TEST(fixture.shareOf("bad") > 0.3);
}

BOOST_AUTO_TEST_CASE(An_ejected_upstream_is_chosen_only_if_ejected_ones_are_allowed)
{
    PickerFixture fixture { { makeNode("only", "v1") } };
    for (std::uint32_t i = 0; i < UpstreamStatistics::s_ejectAfter; ++i)
        fixture.call("only", UpstreamSignal::Lost);
    BOOST_TEST(!fixture.pick().has_value());
    const auto last = fixture.pick({ {}, false, true });
    BOOST_REQUIRE(last);
    BOOST_TEST(last->freshConnection);
}

BOOST_AUTO_TEST_CASE(An_upstream_that_refused_for_load_is_skipped_for_the_cooldown_that_it_requested)
{
    PickerFixture fixture { { makeNode("busy", "v1"), makeNode("free", "v1") } };
    fixture.call("busy", UpstreamSignal::Overloaded, 1ms, 300ms);
    BOOST_TEST(fixture.shareOf("busy") == 0.0);
    fixture.now += 300ms;
    BOOST_TEST(fixture.shareOf("busy") > 0.3);
}

BOOST_AUTO_TEST_CASE(A_node_that_refused_because_it_is_leaving_is_skipped_until_its_entry_changes)
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

BOOST_AUTO_TEST_CASE(Membership_views_are_applied_at_a_limited_rate)
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

BOOST_AUTO_TEST_CASE(The_failures_of_a_node_are_reset_when_it_restarts)
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
