#include "carobpath/moves/MoveEngine.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::moves {

using namespace std::chrono_literals;

namespace {

    const ServiceName booking { "booking" };
    const RouteName book { "book" };
    const VersionName oldVersion { "booking-1" };
    const VersionName newVersion { "booking-2" };

    Now at(std::chrono::milliseconds sinceStart)
    {
        return { MonotonicTime { 1h + sinceStart }, WallTime { 1000h + sinceStart } };
    }

    publication::ConfigurationPointer oneMove(std::chrono::milliseconds length)
    {
        publication::ConfigurationVersion version;
        version.stamp.offset = 5;
        version.set.services[booking] = { { booking, MemberName { "petra" }, oldVersion, {} }, oldVersion, 1 };
        const publication::Move move { MoveName { "m" }, MemberName { "petra" }, booking, newVersion, at(0ms).wall, at(length).wall };
        version.set.moves[move.name] = { move, oldVersion, 5, 5, std::nullopt };
        return std::make_shared<const publication::ConfigurationVersion>(version);
    }

}

BOOST_AUTO_TEST_SUITE(Engine)

BOOST_AUTO_TEST_CASE(A_move_to_a_good_version_reaches_the_last_stage_and_completes_before_the_deadline)
{
    MoveEngine engine(NodeName { "n1" }, { 1 }, std::mt19937_64 { 1 });
    engine.onConfiguration(oneMove(160s), at(0ms));
    bool done = false;
    for (auto t = 0ms; t < 160s; t += 100ms) {
        for (int i = 0; i < 10; ++i) {
            const auto share = engine.trafficSplit(booking, at(t)).nextShare;
            const bool isNew = static_cast<double>((t.count() / 100 * 10 + i) * 37 % 100) < share * 100;
            engine.observe(booking, book, isNew ? newVersion : oldVersion, CallResult::Succeeded, 20ms, at(t));
        }
        for (const auto& command : engine.tick(at(t))) {
            if (const auto* it = std::get_if<AppendVerdict>(&command))
                done = done || it->verdict.outcome == publication::MoveOutcome::Done;
        }
    }
    BOOST_TEST(done);
    BOOST_TEST(engine.trafficSplit(booking, at(159s)).nextShare == 0.95);
}

BOOST_AUTO_TEST_CASE(A_failing_version_is_taken_back_by_the_node_that_detects_it)
{
    MoveEngine engine(NodeName { "n1" }, { 1 }, std::mt19937_64 { 1 });
    engine.onConfiguration(oneMove(160s), at(0ms));
    bool wasBroadcast = false;
    for (auto t = 0ms; t < 60s; t += 100ms) {
        engine.observe(booking, book, oldVersion, CallResult::Succeeded, 20ms, at(t));
        if (t % 2s == 0s)
            engine.observe(booking, book, newVersion, CallResult::Failed, 20ms, at(t));
        for (const auto& command : engine.tick(at(t)))
            wasBroadcast = wasBroadcast || std::holds_alternative<BroadcastNotice>(command);
    }
    BOOST_TEST(wasBroadcast);
    BOOST_TEST(engine.trafficSplit(booking, at(60s)).nextShare == 0.0);
    const auto report = engine.report(MoveName { "m" }, at(60s));
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(toString(report->state) == "taken-back");
    BOOST_TEST(toJson(*report).find("\"taken-back\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(A_move_that_replaces_an_unfinished_one_takes_over_its_service)
{
    MoveEngine engine(NodeName { "n1" }, { 1 }, std::mt19937_64 { 1 });
    engine.onConfiguration(oneMove(160s), at(0ms));
    engine.tick(at(0ms));
    auto next = *oneMove(160s);
    next.stamp.offset = 9;
    auto& earlier = next.set.moves.begin()->second;
    auto later = earlier;
    earlier.verdict = publication::MoveVerdict { publication::MoveOutcome::Withdrawn, publication::MoveReason::Replaced, {}, {} };
    later.move.name = MoveName { "n" };
    later.move.to = VersionName { "booking-3" };
    later.publishedAt = 9;
    next.set.moves[later.move.name] = later;
    engine.onConfiguration(std::make_shared<const publication::ConfigurationVersion>(next), at(20s));
    engine.tick(at(20s));
    BOOST_TEST(engine.trafficSplit(booking, at(20s)).next->value() == "booking-3");
    BOOST_TEST(toString(engine.report(MoveName { "m" }, at(20s))->state) == "withdrawn");
    BOOST_TEST(engine.report(MoveName { "m" }, at(20s))->share == 0.0);
}

BOOST_AUTO_TEST_CASE(Of_two_unfinished_moves_on_one_service_the_later_one_splits_its_calls)
{
    MoveEngine engine(NodeName { "n1" }, { 1 }, std::mt19937_64 { 1 });
    auto both = *oneMove(160s);
    auto later = both.set.moves.begin()->second;
    later.move.name = MoveName { "a" };
    later.move.to = VersionName { "booking-3" };
    later.publishedAt = 6;
    both.set.moves[later.move.name] = later;
    engine.onConfiguration(std::make_shared<const publication::ConfigurationVersion>(both), at(0ms));
    engine.tick(at(1s));
    BOOST_TEST(engine.trafficSplit(booking, at(1s)).next->value() == "booking-3");
    BOOST_TEST(engine.trafficSplit(booking, at(1s)).nextShare > 0.0);
    BOOST_TEST(engine.report(MoveName { "m" }, at(1s))->share == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}
