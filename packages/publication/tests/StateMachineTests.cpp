#include "StateMachineFixture.h"
#include "carobpath/publication/Bounds.h"

namespace carobpath::publication {

using namespace samples;

BOOST_AUTO_TEST_SUITE(ConfigurationStateMachines)

BOOST_AUTO_TEST_CASE(There_is_no_active_set_before_the_first_accepted_record)
{
    StateMachineFixture it;
    BOOST_TEST(it.machine.current() == nullptr);
    BOOST_TEST((std::get<Malformed>(it.machine.apply(0, "no record")).fault == CodecFault::NotJson));
    BOOST_TEST(it.machine.current() == nullptr);
    BOOST_TEST(it.machine.next() == 1U);
}

BOOST_AUTO_TEST_CASE(An_accepted_record_creates_a_version_identified_by_its_offset_and_digest)
{
    StateMachineFixture it;
    it.machine.apply(0, "no record");
    const auto accepted = std::get<Accepted>(it.publish(bookingChanges()));
    BOOST_TEST(accepted.stamp.offset == 1U);
    BOOST_TEST((accepted.stamp.digest == digestOfSet(it.set())));
    BOOST_TEST((it.machine.current()->stamp == accepted.stamp));
}

BOOST_AUTO_TEST_CASE(A_record_out_of_order_is_not_applied)
{
    PopulatedFixture it;
    const auto bytes = encodeRecord(Record { publishRecord(9, 3, { PutVersion { version("booking-3", "booking") } }) });
    BOOST_TEST((it.machine.apply(4, bytes) == ApplyOutcome { OutOfOrder { 3 } }));
    BOOST_TEST((it.machine.apply(2, bytes) == ApplyOutcome { OutOfOrder { 3 } }));
    BOOST_TEST(std::holds_alternative<Accepted>(it.machine.apply(3, bytes)));
}

BOOST_AUTO_TEST_CASE(Each_faulty_record_is_rejected_as_a_whole_with_its_typed_fault)
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
        PopulatedFixture it;
        const auto before = it.machine.current();
        auto changes = row.changes;
        // A valid change in the same record must not take effect either.
        if (row.kind != FaultKind::EmptyRecord)
            changes.emplace_back(PutRoute { route("good", "booking", "/good") });
        const auto outcome = it.publish(changes);
        BOOST_TEST(hasFault(outcome, row.kind), toString(row.kind) << " missing in " << toString(outcome));
        BOOST_TEST((it.machine.current() == before), toString(row.kind));
    }
}

BOOST_AUTO_TEST_CASE(Of_two_concurrent_records_on_one_object_the_first_in_log_order_is_accepted_and_the_second_is_stale)
{
    PopulatedFixture it;
    auto first = route("booking-all", "booking", "/first");
    auto second = route("booking-all", "booking", "/second");
    const Offset base = it.machine.next();
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ PutRoute { first } }, base)));
    const auto loser = it.publish({ PutRoute { second } }, base);
    BOOST_REQUIRE(hasFault(loser, FaultKind::StaleBase));
    BOOST_TEST(std::get<Rejected>(loser).faults.front().changedAt == base);
    BOOST_TEST(std::holds_alternative<Accepted>(it.publish({ PutRoute { route("other", "booking", "/other") } }, base)));
}

BOOST_AUTO_TEST_CASE(Races_with_the_first_record_a_deletion_and_a_replaced_move_are_stale_too)
{
    StateMachineFixture first;
    first.publish(bookingChanges(), 0);
    BOOST_TEST(hasFault(first.publish({ PutRoute { route("booking-all", "booking", "/x") } }, 0), FaultKind::StaleBase));

    PopulatedFixture deleted;
    const Offset base = deleted.machine.next();
    deleted.publish({ deletion(ObjectKind::Route, "booking-all") }, base);
    BOOST_TEST(hasFault(deleted.publish({ PutRoute { route("booking-all", "booking", "/x") } }, base), FaultKind::StaleBase));

    PopulatedFixture moved;
    moved.publish({ PutVersion { version("booking-3", "booking") } });
    const Offset moveBase = moved.machine.next();
    moved.startMove("m");
    BOOST_TEST(hasFault(moved.publish({ PutMove { move("n", "booking", "booking-3") } }, moveBase), FaultKind::StaleBase));
    BOOST_TEST(!moved.move("m").verdict);
}

BOOST_AUTO_TEST_CASE(An_append_repeated_with_the_same_id_takes_effect_once)
{
    PopulatedFixture it;
    const auto record = publishRecord(50, it.machine.next(), { PutRoute { route("r", "booking", "/r") } });
    const auto accepted = std::get<Accepted>(it.apply(record));
    const auto duplicate = std::get<Duplicate>(it.apply(record));
    BOOST_TEST(duplicate.accepted);
    BOOST_TEST(duplicate.firstAt == accepted.stamp.offset);
    BOOST_TEST((it.machine.current()->stamp == accepted.stamp));
}

BOOST_AUTO_TEST_CASE(A_record_of_another_member_with_the_same_id_is_not_a_duplicate)
{
    PopulatedFixture it;
    const auto otherMembersRecord = sign(PublishRecord { recordId(60), akwapim, it.machine.next(), { PutVersion { version("maps-2", "maps", akwapim) } }, {} }, akwapimKey());
    BOOST_TEST(std::holds_alternative<Accepted>(it.apply(otherMembersRecord)));
    BOOST_TEST(std::holds_alternative<Accepted>(it.apply(publishRecord(60, it.machine.next(), { PutRoute { route("r", "booking", "/r") } }))));
}

BOOST_AUTO_TEST_CASE(A_repeated_record_whose_id_was_forgotten_is_rejected_because_of_its_base)
{
    PopulatedFixture it;
    const auto record = publishRecord(1000000, it.machine.next(), { PutRoute { route("r", "booking", "/r") } });
    BOOST_TEST(std::holds_alternative<Accepted>(it.apply(record)));
    it.publish({ deletion(ObjectKind::Route, "r") });
    for (std::size_t i = 0; i <= bounds::rememberedRecords; ++i)
        it.publish({ PutVersion { version("booking-2", "booking") } });
    BOOST_TEST(it.machine.state().records.size() == bounds::rememberedRecords);
    BOOST_TEST(hasFault(it.apply(record), FaultKind::BaseTooOld));
    BOOST_TEST(!it.set().routes.contains(RouteName { "r" }));
}

BOOST_AUTO_TEST_CASE(A_record_that_its_member_did_not_sign_changes_nothing)
{
    PopulatedFixture it;
    const auto before = it.machine.current();
    auto forged = sign(PublishRecord { recordId(70), petra, it.machine.next(), { PutRoute { route("r", "booking", "/r") } }, {} }, akwapimKey());
    BOOST_TEST((it.apply(forged) == ApplyOutcome { BadSignature {} }));
    auto unknown = sign(PublishRecord { recordId(70), MemberName { "stranger" }, it.machine.next(), { PutRoute { route("r", "booking", "/r") } }, {} }, petraKey());
    BOOST_TEST((it.apply(unknown) == ApplyOutcome { BadSignature {} }));
    const auto at = it.startMove("m");
    const auto forgedVerdict = sign(verdictRecord("m", at, MoveOutcome::Done), akwapimKey());
    BOOST_TEST((it.apply(forgedVerdict) == ApplyOutcome { BadSignature {} }));
    BOOST_TEST((it.currentOf("booking") == VersionName { "booking-1" }));
    BOOST_TEST(it.machine.current() != before);
}

BOOST_AUTO_TEST_SUITE_END()

}
