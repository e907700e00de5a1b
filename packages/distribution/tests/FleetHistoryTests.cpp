#include "Fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <iostream>

namespace carobpath::distribution {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::uint64_t historySeed = 20261203;
    constexpr int histories = 100;
    constexpr std::size_t nodes = 9;
    constexpr std::size_t domains = 3;
    constexpr std::size_t maxHistoryLength = 25;

    enum class Act : std::uint8_t {
        Publish,
        Kill,
        Start,
        Restart,
        Pause,
        Resume,
        Cut,
        /// A change while a failure domain is partitioned, and the restart of a node that adopted it as soon as the partition
        /// ends.
        ChangeInCutAndRestart,
        Heal,
        LogDown,
        LogUp,
        Wait,
        Last = Wait,
    };

    struct Action {
        Act act = Act::Wait;
        std::size_t node = 0;
        milliseconds then {};
    };

    std::ostream& operator<<(std::ostream& out, const Action& it)
    {
        static constexpr const char* names[] = { "publish", "kill", "start", "restart", "pause", "resume", "cut", "change in a cut and restart of", "heal", "log down", "log up", "wait" };
        return out << names[static_cast<std::size_t>(it.act)] << ' ' << it.node << ", then " << it.then.count() << " ms";
    }

    /// Generates values from the full range; RapidCheck would otherwise reduce it with the size of the history.
    rc::Gen<int> anyBelow(int end)
    {
        return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
    }

    rc::Gen<Action> anyAction()
    {
        return rc::gen::map(
            rc::gen::tuple(anyBelow(static_cast<int>(Act::Last) + 1), anyBelow(nodes), anyBelow(8000)),
            [](const auto& it) { return Action { static_cast<Act>(std::get<0>(it)), static_cast<std::size_t>(std::get<1>(it)), milliseconds { std::get<2>(it) } }; });
    }

    void apply(Fleet& fleet, const Action& it)
    {
        switch (it.act) {
        case Act::Publish:
            fleet.publish();
            break;
        case Act::Kill:
            // Version floors are stored in the fleet only, so enough nodes must keep running.
            if (fleet.running(it.node) && fleet.runningNodes() > nodes - 2)
                fleet.kill(it.node);
            break;
        case Act::Start:
            if (!fleet.running(it.node))
                fleet.start(it.node);
            break;
        case Act::Restart:
            fleet.kill(it.node);
            fleet.start(it.node);
            break;
        case Act::Pause:
            if (fleet.running(it.node))
                fleet.pause(it.node);
            break;
        case Act::Resume:
            fleet.resume(it.node);
            break;
        case Act::Cut:
            fleet.cut(it.node % domains, true);
            break;
        case Act::ChangeInCutAndRestart:
            fleet.cut((it.node + 1) % domains, true);
            fleet.publish();
            fleet.run(it.then);
            fleet.kill(it.node);
            fleet.heal();
            fleet.start(it.node);
            break;
        case Act::Heal:
            fleet.heal();
            break;
        case Act::LogDown:
        case Act::LogUp:
            fleet.setLogUp(it.act == Act::LogUp);
            break;
        case Act::Wait:
            break;
        }
        fleet.run(it.then);
    }

    void endFaults(Fleet& fleet)
    {
        fleet.heal();
        fleet.healLog();
        fleet.setLogUp(true);
        for (std::size_t i = 0; i < nodes; ++i) {
            fleet.resume(i);
            if (!fleet.running(i))
                fleet.start(i);
        }
    }

    struct HistoryOptions {
        bool withoutVersionFloor = false;
        double damagedDeltas = 0.1;
        bool withoutDigests = false;
    };

    /// \returns the first violation, or an empty text.
    std::string outcomeOf(const std::vector<Action>& history, std::uint64_t seed, const HistoryOptions& variant)
    {
        FleetOptions options;
        options.nodes = nodes;
        options.domains = domains;
        options.seed = seed;
        options.loss = 0.05;
        options.duplicates = 0.1;
        options.maxDelay = milliseconds { 300 };
        options.withoutVersionFloor = variant.withoutVersionFloor;
        options.damagedDeltas = variant.damagedDeltas;
        options.withoutDigests = variant.withoutDigests;
        Fleet fleet(options);
        fleet.publish();
        fleet.startAll();
        fleet.run(seconds { 15 });
        for (const auto& it : history)
            apply(fleet, it);
        endFaults(fleet);
        const auto offset = fleet.publish();
        const bool converged = fleet.runUntil([&] { return fleet.allServe(offset) && fleet.allKnow(nodes); }, seconds { 180 }).has_value();
        if (!fleet.violations().empty())
            return fleet.violations().front();
        return converged ? "" : "the fleet did not converge";
    }

    bool historiesHold(const HistoryOptions& variant)
    {
        const auto property = [&variant] {
            const auto history = *rc::gen::resize(static_cast<int>(maxHistoryLength), rc::gen::container<std::vector<Action>>(anyAction()));
            const auto seed = static_cast<std::uint64_t>(*anyBelow(1'000'000));
            const auto outcome = outcomeOf(history, seed, variant);
            if (!outcome.empty())
                RC_FAIL(outcome);
        };
        rc::detail::TestParams params;
        params.seed = historySeed;
        params.maxSuccess = histories;
        const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
        std::cout << "history seed " << historySeed << ": ";
        rc::detail::printResultMessage(result, std::cout);
        std::cout << std::endl;
        return result.is<rc::detail::SuccessResult>();
    }

}

BOOST_AUTO_TEST_SUITE(FleetHistories)

BOOST_AUTO_TEST_CASE(No_node_reverts_none_activates_an_incomplete_set_and_all_converge)
{
    BOOST_TEST(historiesHold({}));
}

BOOST_AUTO_TEST_CASE(Without_the_version_floor_some_history_reverts)
{
    BOOST_TEST(!historiesHold({ .withoutVersionFloor = true }));
}

BOOST_AUTO_TEST_CASE(Without_digests_some_history_activates_an_incomplete_set)
{
    BOOST_TEST(!historiesHold({ .damagedDeltas = 0.3, .withoutDigests = true }));
}

BOOST_AUTO_TEST_SUITE_END()

}
