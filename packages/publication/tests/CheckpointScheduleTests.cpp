#include "Samples.h"
#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/CheckpointSchedule.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

using namespace samples;
using namespace std::chrono_literals;

namespace {

    std::vector<NodeName> nodes(int count)
    {
        std::vector<NodeName> names;
        names.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            names.emplace_back("node-" + std::to_string(i));
        return names;
    }

    /// Nodes that all apply the same records and share a virtual clock.
    struct Fleet {
        std::vector<NodeName> names = nodes(10);
        std::vector<CheckpointSchedule> schedules;
        Now now { MonotonicTime {}, WallTime { 1000000s } };
        CheckpointPolicy policy { 100, 1h, 20s, 60s };

        Fleet()
        {
            for (const auto& name : names)
                schedules.emplace_back(name, policy);
        }

        void pass(std::chrono::milliseconds time)
        {
            now.monotonic += time;
            now.wall += time;
        }

        void record(Offset offset, const ApplyOutcome& outcome)
        {
            for (auto& it : schedules)
                it.onRecord(offset, outcome);
        }

        std::vector<std::size_t> writers(const std::vector<NodeName>& live)
        {
            std::vector<std::size_t> due;
            for (std::size_t i = 0; i < schedules.size(); ++i) {
                if (schedules[i].poll(live, now))
                    due.push_back(i);
            }
            return due;
        }
    };

}

BOOST_AUTO_TEST_SUITE(CheckpointSchedules)

BOOST_AUTO_TEST_CASE(An_empty_log_needs_no_checkpoint_and_the_first_records_need_one_at_once_from_one_node)
{
    Fleet fleet;
    BOOST_TEST(fleet.writers(fleet.names).empty());
    fleet.record(0, Accepted {});
    BOOST_TEST(fleet.writers(fleet.names).size() == 1U);
    BOOST_TEST(fleet.writers(fleet.names).empty());
}

BOOST_AUTO_TEST_CASE(A_checkpoint_is_due_by_records_and_by_age)
{
    Fleet fleet;
    fleet.record(0, Accepted {});
    fleet.record(1, CheckpointMatched { 1, fleet.now.wall });
    BOOST_TEST(fleet.writers(fleet.names).empty());
    for (Offset i = 2; i < 101; ++i)
        fleet.record(i, Rejected {});
    BOOST_TEST(fleet.writers(fleet.names).size() == 1U);
    fleet.record(101, CheckpointMatched { 101, fleet.now.wall });
    fleet.pass(59min);
    BOOST_TEST(fleet.writers(fleet.names).empty());
    fleet.pass(1min);
    BOOST_TEST(fleet.writers(fleet.names).size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_node_that_has_just_started_takes_the_age_from_the_checkpoint)
{
    Fleet fleet;
    for (auto& it : fleet.schedules)
        it.onCheckpointLoaded(50, fleet.now.wall - 2h);
    BOOST_TEST(fleet.writers(fleet.names).size() == 1U);
}

BOOST_AUTO_TEST_CASE(If_the_due_node_is_paused_the_next_in_rank_takes_over_after_the_delay)
{
    Fleet fleet;
    fleet.record(0, Accepted {});
    const auto first = fleet.writers(fleet.names);
    BOOST_REQUIRE(first.size() == 1U);
    fleet.pass(19s);
    BOOST_TEST(fleet.writers(fleet.names).empty());
    fleet.pass(1s);
    const auto second = fleet.writers(fleet.names);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second.front() != first.front());

    // If takeover is disabled, no other node writes in place of the paused one.
    Fleet without;
    without.policy.takeoverDelay = 1000h;
    without.schedules.clear();
    for (const auto& name : without.names)
        without.schedules.emplace_back(name, without.policy);
    without.record(0, Accepted {});
    const auto only = without.writers(without.names);
    without.pass(1h);
    BOOST_TEST(without.writers(without.names) == only, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(A_wrong_checkpoint_is_counted_and_does_not_delay_the_next_one)
{
    Fleet fleet;
    fleet.record(0, Accepted {});
    fleet.record(1, CheckpointMismatch { NodeName { "node-3" }, 1 });
    BOOST_TEST(fleet.schedules.front().mismatches() == 1U);
    BOOST_TEST(fleet.writers(fleet.names).size() == 1U);
}

BOOST_AUTO_TEST_CASE(The_largest_state_fits_into_one_record)
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    const std::string name(bounds::nameLength, 'x');
    ReplicatedState state;
    state.stamp = ConfigurationStamp { largest, {} };
    state.next = state.forgottenBefore = largest;
    state.records.assign(bounds::rememberedRecords, { MemberName { name }, { name, { largest }, largest }, largest, false });
    state.deletions.assign(bounds::rememberedDeletions, { { ObjectKind::Service, name }, largest });
    const CheckpointRecord checkpoint { { name, { largest }, largest }, NodeName { name }, WallTime { std::chrono::hours { 24 * 365 * 400 } }, state, {} };
    BOOST_TEST(encodeRecord(Record { checkpoint }).size() + bounds::setBytes <= bounds::checkpointBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}
