#include "Samples.h"
#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/ConfigurationFold.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace carobpath::publication {

using namespace samples;

namespace {

    /// A fold with short ways to append to it.
    struct Reader {
        ConfigurationFold fold { trustedKeys() };

        FoldOutcome apply(const Record& record) { return fold.apply(fold.next(), encodeRecord(record)); }
        FoldOutcome publish(std::vector<Change> changes, std::optional<Offset> base = {})
        {
            return apply(publishRecord(fold.next() + 1, base.value_or(fold.next()), std::move(changes)));
        }
        FoldOutcome publishAsAkwapim(std::vector<Change> changes)
        {
            return apply(akwapimRecord(fold.next() + 1, fold.next(), std::move(changes)));
        }
        const ConfigurationSet& set() const { return fold.current()->set; }
        const MoveEntry& move(const std::string& name) const { return set().moves.at(MoveName { name }); }
        VersionName currentOf(const std::string& service) const { return set().services.at(ServiceName { service }).currentVersion; }
    };

    /// Offset 0: service booking on booking-1; offset 1: version booking-2; offset 2: Akwapim's service maps.
    struct Published : Reader {
        Published()
        {
            publish(bookingChanges());
            publish({ PutVersion { version("booking-2", "booking") } });
            publishAsAkwapim({ PutVersion { version("maps-1", "maps", akwapim) }, PutService { service("maps", "maps-1", akwapim) } });
        }

        Offset startMove(const std::string& name, const std::string& to = "booking-2")
        {
            const Offset at = fold.next();
            BOOST_REQUIRE(std::holds_alternative<Accepted>(publish({ PutMove { samples::move(name, "booking", to) } })));
            return at;
        }
    };

    bool hasFault(const FoldOutcome& outcome, FaultKind kind)
    {
        const auto* rejected = std::get_if<Rejected>(&outcome);
        return rejected && std::any_of(rejected->faults.begin(), rejected->faults.end(), [&](const Fault& it) { return it.kind == kind; });
    }

    DeleteObject deletion(ObjectKind kind, const std::string& name)
    {
        return { { kind, name } };
    }

}

BOOST_AUTO_TEST_SUITE(Fold)

BOOST_AUTO_TEST_CASE(Nothing_is_in_force_before_the_first_accepted_record)
{
    Reader it;
    BOOST_TEST(it.fold.current() == nullptr);
    BOOST_TEST((std::get<Malformed>(it.fold.apply(0, "no record")).fault == CodecFault::NotJson));
    BOOST_TEST(it.fold.current() == nullptr);
    BOOST_TEST(it.fold.next() == 1U);
}

BOOST_AUTO_TEST_CASE(An_accepted_record_makes_a_version_named_by_its_offset_and_digest)
{
    Reader it;
    it.fold.apply(0, "no record");
    const auto accepted = std::get<Accepted>(it.publish(bookingChanges()));
    BOOST_TEST(accepted.stamp.offset == 1U);
    BOOST_TEST((accepted.stamp.digest == digestOfSet(it.set())));
    BOOST_TEST((it.fold.current()->stamp == accepted.stamp));
}

BOOST_AUTO_TEST_CASE(A_record_out_of_order_is_not_folded)
{
    Published it;
    const auto bytes = encodeRecord(Record { publishRecord(9, 3, { PutVersion { version("booking-3", "booking") } }) });
    BOOST_TEST((it.fold.apply(4, bytes) == FoldOutcome { OutOfOrder { 3 } }));
    BOOST_TEST((it.fold.apply(2, bytes) == FoldOutcome { OutOfOrder { 3 } }));
    BOOST_TEST(std::holds_alternative<Accepted>(it.fold.apply(3, bytes)));
}

BOOST_AUTO_TEST_CASE(Each_bad_record_is_rejected_whole_with_its_typed_fault)
{
    auto foreignHost = service("other", "other-1");
    foreignHost.hosts = { "maps.example" };
    auto twoHosts = service("other", "other-1");
    twoHosts.hosts = { "a", "a" };
    auto badTimeout = route("r", "booking", "/r");
    badTimeout.timeout = std::chrono::milliseconds { 0 };
    auto backwards = move("m", "booking", "booking-2");
    backwards.deadline = backwards.startAt;
    auto otherPrefix = route("r", "booking", "no-slash");
    std::vector<Change> tooMany(bounds::changesPerRecord + 1, deletion(ObjectKind::Route, "x"));

    struct Row {
        FaultKind kind;
        std::vector<Change> changes;
    };
    const std::vector<Row> rows {
        { FaultKind::EmptyRecord, {} },
        { FaultKind::DanglingReference, { PutRoute { route("r", "nowhere", "/") } } },
        { FaultKind::DanglingReference, { PutService { service("other", "other-1") } } },
        { FaultKind::DanglingReference, { PutVersion { version("v", "nowhere") } } },
        { FaultKind::DanglingReference, { PutMove { move("m", "booking", "booking-9") } } },
        { FaultKind::DanglingReference, { PutMove { move("m", "nowhere", "booking-2") } } },
        { FaultKind::DanglingReference, { deletion(ObjectKind::Version, "booking-1") } },
        { FaultKind::DanglingReference, { deletion(ObjectKind::Service, "booking") } },
        { FaultKind::WrongService, { PutVersion { version("other-1", "other") }, PutService { service("other", "booking-2") } } },
        { FaultKind::ForeignObject, { PutService { service("maps", "maps-1", akwapim) } } },
        { FaultKind::ForeignObject, { PutService { service("maps", "maps-1") } } },
        { FaultKind::ForeignObject, { deletion(ObjectKind::Service, "maps") } },
        { FaultKind::ForeignReference, { PutRoute { route("r", "maps", "/") } } },
        { FaultKind::ForeignReference, { PutVersion { version("maps-2", "maps") } } },
        { FaultKind::ForeignReference, { PutMove { move("m", "maps", "maps-1") } } },
        { FaultKind::DuplicateName, { PutVersion { version("v", "booking") }, deletion(ObjectKind::Version, "v") } },
        { FaultKind::DuplicateName, { PutVersion { version("other-1", "other") }, PutService { twoHosts } } },
        { FaultKind::UnknownObject, { deletion(ObjectKind::Route, "nowhere") } },
        { FaultKind::HostTaken, { PutVersion { version("other-1", "other") }, PutService { foreignHost } } },
        { FaultKind::RouteConflict, { PutRoute { route("r", "booking", "/") } } },
        { FaultKind::MoveConflict, { PutMove { move("m", "booking", "booking-2") }, PutMove { move("n", "booking", "booking-2") } } },
        { FaultKind::MoveToCurrent, { PutMove { move("m", "booking", "booking-1") } } },
        { FaultKind::DeadlineBeforeStart, { PutMove { backwards } } },
        { FaultKind::BadName, { PutVersion { version("Upper", "booking") } } },
        { FaultKind::BadPathPrefix, { PutRoute { otherPrefix } } },
        { FaultKind::OutOfRange, { PutRoute { badTimeout } } },
        { FaultKind::BoundExceeded, tooMany },
    };
    for (const auto& row : rows) {
        Published it;
        const auto before = it.fold.current();
        auto changes = row.changes;
        // A good change in the same record must not take effect either.
        if (row.kind != FaultKind::EmptyRecord)
            changes.emplace_back(PutRoute { route("good", "booking", "/good") });
        const auto outcome = it.publish(changes);
        BOOST_TEST(hasFault(outcome, row.kind), toString(row.kind) << " missing in " << toString(outcome));
        BOOST_TEST((it.fold.current() == before), toString(row.kind));
    }
}

BOOST_AUTO_TEST_CASE(Of_two_rival_records_on_one_object_the_first_in_log_order_wins_and_the_second_is_stale)
{
    Published it;
    auto first = route("booking-all", "booking", "/first");
    auto second = route("booking-all", "booking", "/second");
    const Offset base = it.fold.next();
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ PutRoute { first } }, base)));
    const auto loser = it.publish({ PutRoute { second } }, base);
    BOOST_REQUIRE(hasFault(loser, FaultKind::StaleBase));
    BOOST_TEST(std::get<Rejected>(loser).faults.front().changedAt == base);
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ PutRoute { route("other", "booking", "/other") } }, base)));
}

BOOST_AUTO_TEST_CASE(Races_with_the_first_record_a_deletion_and_a_replaced_move_are_stale_too)
{
    Reader first;
    first.publish(bookingChanges(), 0);
    BOOST_TEST(hasFault(first.publish({ PutRoute { route("booking-all", "booking", "/x") } }, 0), FaultKind::StaleBase));

    Published deleted;
    const Offset base = deleted.fold.next();
    deleted.publish({ deletion(ObjectKind::Route, "booking-all") }, base);
    BOOST_TEST(hasFault(deleted.publish({ PutRoute { route("booking-all", "booking", "/x") } }, base), FaultKind::StaleBase));

    Published moved;
    moved.publish({ PutVersion { version("booking-3", "booking") } });
    const Offset moveBase = moved.fold.next();
    moved.startMove("m");
    BOOST_TEST(hasFault(moved.publish({ PutMove { move("n", "booking", "booking-3") } }, moveBase), FaultKind::StaleBase));
    BOOST_TEST(!moved.move("m").verdict);
}

BOOST_AUTO_TEST_CASE(An_append_made_again_with_the_same_id_takes_effect_once)
{
    Published it;
    const auto record = publishRecord(50, it.fold.next(), { PutRoute { route("r", "booking", "/r") } });
    const auto accepted = std::get<Accepted>(it.apply(record));
    const auto duplicate = std::get<Duplicate>(it.apply(record));
    BOOST_TEST(duplicate.accepted);
    BOOST_TEST(duplicate.firstAt == accepted.stamp.offset);
    BOOST_TEST((it.fold.current()->stamp == accepted.stamp));
}

BOOST_AUTO_TEST_CASE(Another_members_record_with_the_same_id_is_no_duplicate)
{
    Published it;
    const auto rivals = sign(PublishRecord { recordId(60), akwapim, it.fold.next(), { PutVersion { version("maps-2", "maps", akwapim) } }, {} }, akwapimKey());
    BOOST_TEST(std::holds_alternative<Accepted>(it.apply(rivals)));
    BOOST_TEST(std::holds_alternative<Accepted>(it.apply(publishRecord(60, it.fold.next(), { PutRoute { route("r", "booking", "/r") } }))));
}

BOOST_AUTO_TEST_CASE(A_repeated_record_whose_id_was_forgotten_is_rejected_by_its_base)
{
    Published it;
    const auto record = publishRecord(1000000, it.fold.next(), { PutRoute { route("r", "booking", "/r") } });
    BOOST_TEST(std::holds_alternative<Accepted>(it.apply(record)));
    it.publish({ deletion(ObjectKind::Route, "r") });
    for (std::size_t i = 0; i <= bounds::rememberedRecords; ++i)
        it.publish({ PutVersion { version("booking-2", "booking") } });
    BOOST_TEST(it.fold.state().records.size() == bounds::rememberedRecords);
    BOOST_TEST(hasFault(it.apply(record), FaultKind::BaseTooOld));
    BOOST_TEST(!it.set().routes.contains(RouteName { "r" }));
}

BOOST_AUTO_TEST_CASE(A_record_that_its_member_did_not_sign_changes_nothing)
{
    Published it;
    const auto before = it.fold.current();
    auto forged = sign(PublishRecord { recordId(70), petra, it.fold.next(), { PutRoute { route("r", "booking", "/r") } }, {} }, akwapimKey());
    BOOST_TEST((it.apply(forged) == FoldOutcome { BadSignature {} }));
    auto unknown = sign(PublishRecord { recordId(70), MemberName { "stranger" }, it.fold.next(), { PutRoute { route("r", "booking", "/r") } }, {} }, petraKey());
    BOOST_TEST((it.apply(unknown) == FoldOutcome { BadSignature {} }));
    const auto at = it.startMove("m");
    const auto forgedVerdict = sign(verdictRecord("m", at, MoveOutcome::Done), akwapimKey());
    BOOST_TEST((it.apply(forgedVerdict) == FoldOutcome { BadSignature {} }));
    BOOST_TEST((it.currentOf("booking") == VersionName { "booking-1" }));
    BOOST_TEST(it.fold.current() != before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MovesInTheFold)

BOOST_AUTO_TEST_CASE(A_done_verdict_makes_the_new_version_current_and_a_take_back_leaves_the_old)
{
    Published done;
    const auto at = done.startMove("m");
    BOOST_TEST((done.move("m").from == VersionName { "booking-1" }));
    BOOST_TEST(std::holds_alternative<VerdictAccepted>(done.apply(verdictRecord("m", at, MoveOutcome::Done))));
    BOOST_TEST((done.currentOf("booking") == VersionName { "booking-2" }));

    Published back;
    const auto backAt = back.startMove("m");
    BOOST_TEST(std::holds_alternative<VerdictAccepted>(back.apply(verdictRecord("m", backAt, MoveOutcome::TakenBack))));
    BOOST_TEST((back.currentOf("booking") == VersionName { "booking-1" }));
    BOOST_TEST((back.move("m").verdict->reason == MoveReason::ErrorRate));
}

BOOST_AUTO_TEST_CASE(Publishing_an_old_file_again_moves_no_traffic_and_starts_no_move_again)
{
    Published it;
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
    Published it;
    const auto at = it.startMove("m");
    it.apply(verdictRecord("m", at, MoveOutcome::TakenBack, "node-1"));
    const auto late = it.apply(verdictRecord("m", at, MoveOutcome::Done, "node-2"));
    BOOST_TEST((late == FoldOutcome { VerdictIgnored { MoveName { "m" }, VerdictIgnoredReason::AlreadyEnded } }));
    BOOST_TEST((it.currentOf("booking") == VersionName { "booking-1" }));
}

BOOST_AUTO_TEST_CASE(A_verdict_of_an_earlier_move_of_the_same_name_is_ignored)
{
    Published it;
    const auto first = it.startMove("m");
    it.apply(verdictRecord("m", first, MoveOutcome::TakenBack));
    auto again = move("m", "booking", "booking-2");
    again.deadline += std::chrono::seconds { 60 };
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ PutMove { again } })));
    const auto late = it.apply(verdictRecord("m", first, MoveOutcome::Done));
    BOOST_TEST((late == FoldOutcome { VerdictIgnored { MoveName { "m" }, VerdictIgnoredReason::OtherMove } }));
    const auto unknown = it.apply(verdictRecord("x", first, MoveOutcome::Done));
    BOOST_TEST((unknown == FoldOutcome { VerdictIgnored { MoveName { "x" }, VerdictIgnoredReason::UnknownMove } }));
}

BOOST_AUTO_TEST_CASE(A_newer_move_withdraws_an_unfinished_one_and_so_does_a_deletion)
{
    Published it;
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

BOOST_AUTO_TEST_CASE(A_version_that_a_move_leads_to_cannot_be_deleted_until_the_move_ends)
{
    Published it;
    const auto at = it.startMove("m");
    BOOST_TEST(hasFault(it.publish({ deletion(ObjectKind::Version, "booking-2") }), FaultKind::DanglingReference));
    it.apply(verdictRecord("m", at, MoveOutcome::TakenBack));
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ deletion(ObjectKind::Version, "booking-2") })));
}

BOOST_AUTO_TEST_CASE(Ended_moves_are_kept_up_to_their_bound)
{
    Published it;
    for (std::size_t i = 0; i < bounds::endedMovesPerService + 3; ++i) {
        const auto at = it.startMove("m" + std::to_string(i));
        it.apply(verdictRecord("m" + std::to_string(i), at, MoveOutcome::TakenBack));
    }
    BOOST_TEST(it.set().moves.size() == bounds::endedMovesPerService);
    BOOST_TEST(!it.set().moves.contains(MoveName { "m0" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CheckpointsInTheFold)

namespace {

    CheckpointRecord checkpointOf(const ConfigurationFold& fold)
    {
        return sign(CheckpointRecord { recordId(1, "node-1"), NodeName { "node-1" }, WallTime {}, fold.state(), {} }, fleetKey());
    }

}

BOOST_AUTO_TEST_CASE(A_fold_from_a_checkpoint_and_the_tail_equals_the_whole_fold)
{
    Published whole;
    const auto at = whole.startMove("m");
    const auto checkpoint = checkpointOf(whole.fold);
    auto fold = ConfigurationFold::fromCheckpoint(checkpoint, trustedKeys());
    BOOST_REQUIRE(fold.has_value());
    Reader recovered { *std::move(fold) };

    const auto repeated = publishRecord(2, 1, { PutVersion { version("booking-2", "booking") } });
    const std::vector<Record> tail { checkpoint, verdictRecord("m", at, MoveOutcome::Done), repeated,
        publishRecord(90, 6, { PutRoute { route("r", "booking", "/r") } }) };
    for (const auto& record : tail)
        BOOST_TEST((whole.apply(record) == recovered.apply(record)));
    BOOST_TEST((whole.fold.state() == recovered.fold.state()));
}

BOOST_AUTO_TEST_CASE(A_checkpoint_is_compared_with_the_state_of_its_own_offset)
{
    Published it;
    const auto checkpoint = checkpointOf(it.fold);
    it.startMove("m");
    BOOST_TEST((it.apply(checkpoint) == FoldOutcome { CheckpointMatched { 3, WallTime {} } }));
}

BOOST_AUTO_TEST_CASE(A_wrong_checkpoint_is_reported_and_changes_nothing)
{
    Published it;
    const auto before = it.fold.state();
    auto otherSet = checkpointOf(it.fold);
    otherSet.state.set.routes.clear();
    otherSet.state.stamp->digest = digestOfSet(otherSet.state.set);
    auto wrongDigest = checkpointOf(it.fold);
    wrongDigest.state.set.routes.clear();
    auto lostId = checkpointOf(it.fold);
    lostId.state.records.pop_back();
    auto future = checkpointOf(it.fold);
    future.state.next += 100;
    for (const auto& wrong : { otherSet, wrongDigest, lostId, future }) {
        const auto outcome = it.apply(sign(wrong, fleetKey()));
        BOOST_TEST(std::holds_alternative<CheckpointMismatch>(outcome), toString(outcome));
    }
    BOOST_TEST((it.fold.current()->stamp == *before.stamp));
    BOOST_TEST((it.fold.state().records == before.records));
    BOOST_TEST(!ConfigurationFold::fromCheckpoint(sign(wrongDigest, fleetKey()), trustedKeys()).has_value());
    BOOST_TEST(!ConfigurationFold::fromCheckpoint(sign(checkpointOf(it.fold), petraKey()), trustedKeys()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
