#include "StateMachineFixture.h"
#include "carobpath/publication/Bounds.h"

namespace carobpath::publication {

using namespace samples;

BOOST_AUTO_TEST_SUITE(MoveRecords)

BOOST_AUTO_TEST_CASE(A_done_verdict_makes_the_new_version_current_and_a_take_back_keeps_the_old_one)
{
    PopulatedFixture done;
    const auto at = done.startMove("m");
    BOOST_TEST((done.move("m").from == VersionName { "booking-1" }));
    BOOST_TEST(std::holds_alternative<VerdictAccepted>(done.apply(verdictRecord("m", at, MoveOutcome::Done))));
    BOOST_TEST((done.currentOf("booking") == VersionName { "booking-2" }));

    PopulatedFixture back;
    const auto backAt = back.startMove("m");
    BOOST_TEST(std::holds_alternative<VerdictAccepted>(back.apply(verdictRecord("m", backAt, MoveOutcome::TakenBack))));
    BOOST_TEST((back.currentOf("booking") == VersionName { "booking-1" }));
    BOOST_TEST((back.move("m").verdict->reason == MoveReason::ErrorRate));
}

BOOST_AUTO_TEST_CASE(Publishing_an_old_file_again_moves_no_traffic_and_starts_no_move_again)
{
    PopulatedFixture it;
    const auto at = it.startMove("m");
    it.apply(verdictRecord("m", at, MoveOutcome::Done));
    auto again = bookingChanges();
    again.emplace_back(PutMove { move("m", "booking", "booking-2") });
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish(again)));
    BOOST_TEST((it.currentOf("booking") == VersionName { "booking-2" }));
    BOOST_TEST(it.move("m").publishedAt == at);
    BOOST_TEST(it.move("m").verdict.has_value());
}

BOOST_AUTO_TEST_CASE(A_writer_that_was_paused_cannot_overwrite_a_verdict)
{
    PopulatedFixture it;
    const auto at = it.startMove("m");
    it.apply(verdictRecord("m", at, MoveOutcome::TakenBack, "node-1"));
    const auto late = it.apply(verdictRecord("m", at, MoveOutcome::Done, "node-2"));
    BOOST_TEST((late == ApplyOutcome { VerdictIgnored { MoveName { "m" }, VerdictIgnoredReason::AlreadyEnded } }));
    BOOST_TEST((it.currentOf("booking") == VersionName { "booking-1" }));
}

BOOST_AUTO_TEST_CASE(A_verdict_of_an_earlier_move_of_the_same_name_is_ignored)
{
    PopulatedFixture it;
    const auto first = it.startMove("m");
    it.apply(verdictRecord("m", first, MoveOutcome::TakenBack));
    auto again = move("m", "booking", "booking-2");
    again.deadline += std::chrono::seconds { 60 };
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ PutMove { again } })));
    const auto late = it.apply(verdictRecord("m", first, MoveOutcome::Done));
    BOOST_TEST((late == ApplyOutcome { VerdictIgnored { MoveName { "m" }, VerdictIgnoredReason::OtherMove } }));
    const auto unknown = it.apply(verdictRecord("x", first, MoveOutcome::Done));
    BOOST_TEST((unknown == ApplyOutcome { VerdictIgnored { MoveName { "x" }, VerdictIgnoredReason::UnknownMove } }));
}

BOOST_AUTO_TEST_CASE(A_newer_move_withdraws_an_unfinished_one_and_so_does_a_deletion)
{
    PopulatedFixture it;
    it.publish({ PutVersion { version("booking-3", "booking") } });
    it.startMove("m");
    it.startMove("n", "booking-3");
    BOOST_TEST((it.move("m").verdict->outcome == MoveOutcome::Withdrawn));
    BOOST_TEST((it.move("m").verdict->reason == MoveReason::Replaced));
    it.publish({ deletion(ObjectKind::Move, "n") });
    BOOST_TEST((it.move("n").verdict->outcome == MoveOutcome::Withdrawn));
    BOOST_TEST((it.move("n").verdict->reason == MoveReason::None));
    it.publish({ deletion(ObjectKind::Move, "n") });
    BOOST_TEST(!it.set().moves.contains(MoveName { "n" }));
}

BOOST_AUTO_TEST_CASE(The_target_version_of_a_move_cannot_be_deleted_until_the_move_ends)
{
    PopulatedFixture it;
    const auto at = it.startMove("m");
    BOOST_TEST(hasFault(it.publish({ deletion(ObjectKind::Version, "booking-2") }), FaultKind::DanglingReference));
    it.apply(verdictRecord("m", at, MoveOutcome::TakenBack));
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ deletion(ObjectKind::Version, "booking-2") })));
}

BOOST_AUTO_TEST_CASE(Ended_moves_are_kept_up_to_their_limit)
{
    PopulatedFixture it;
    for (std::size_t i = 0; i < bounds::endedMovesPerService + 3; ++i) {
        const auto at = it.startMove("m" + std::to_string(i));
        it.apply(verdictRecord("m" + std::to_string(i), at, MoveOutcome::TakenBack));
    }
    BOOST_TEST(it.set().moves.size() == bounds::endedMovesPerService);
    BOOST_TEST(!it.set().moves.contains(MoveName { "m0" }));
}

BOOST_AUTO_TEST_SUITE_END()

}
