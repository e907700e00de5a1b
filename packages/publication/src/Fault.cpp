#include "carobpath/publication/Fault.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath::publication {

namespace {

    struct KindRow {
        FaultKind kind;
        std::string_view text;
        std::string_view sentence;
    };

    constexpr std::array kindRows {
        KindRow { FaultKind::StaleBase, "stale-base", "was changed after the record's base" },
        KindRow { FaultKind::BaseTooOld, "base-too-old", "the record's base is too old; read the log again" },
        KindRow { FaultKind::BaseInFuture, "base-in-future", "the record's base offset is after the record itself" },
        KindRow { FaultKind::EmptyRecord, "empty-record", "the record changes nothing" },
        KindRow { FaultKind::ForeignObject, "foreign-object", "belongs to another member" },
        KindRow { FaultKind::ForeignReference, "foreign-reference", "refers to an object of another member" },
        KindRow { FaultKind::DanglingReference, "dangling-reference", "refers to an object that is not there" },
        KindRow { FaultKind::WrongService, "wrong-service", "refers to a version of another service" },
        KindRow { FaultKind::DuplicateName, "duplicate-name", "is named twice" },
        KindRow { FaultKind::UnknownObject, "unknown-object", "can't be deleted: it does not exist" },
        KindRow { FaultKind::HostTaken, "host-taken", "claims a host of another service" },
        KindRow { FaultKind::RouteConflict, "route-conflict", "takes the same path and method as another route" },
        KindRow { FaultKind::MoveConflict, "move-conflict", "moves the same service as another move of the record" },
        KindRow { FaultKind::MoveToCurrent, "move-to-current", "moves to the version that is already current" },
        KindRow { FaultKind::DeadlineBeforeStart, "deadline-before-start", "has a deadline that is not after its start" },
        KindRow { FaultKind::BadName, "bad-name", "has a name that is not 1 to 64 of a-z, 0-9, '.', '_' and '-'" },
        KindRow { FaultKind::BadHost, "bad-host", "has a host that is not a lower-case host name without port" },
        KindRow { FaultKind::BadPathPrefix, "bad-path-prefix", "has a path prefix that does not start with '/' or contains characters other than visible ASCII" },
        KindRow { FaultKind::BadMethod, "bad-method", "has a method that is not 1 to 16 of A-Z" },
        KindRow { FaultKind::OutOfRange, "out-of-range", "has a value out of its range" },
        KindRow { FaultKind::BoundExceeded, "bound-exceeded", "exceeds a limit" },
    };

    constexpr std::array<EnumRow<ObjectField>, 15> fields { {
        { ObjectField::None, "" },
        { ObjectField::Name, "name" },
        { ObjectField::Member, "member" },
        { ObjectField::Service, "service" },
        { ObjectField::InitialVersion, "initial-version" },
        { ObjectField::Hosts, "hosts" },
        { ObjectField::PathPrefix, "path-prefix" },
        { ObjectField::Methods, "methods" },
        { ObjectField::Repeatability, "repeatability" },
        { ObjectField::TrafficClass, "traffic-class" },
        { ObjectField::Timeout, "timeout" },
        { ObjectField::To, "to" },
        { ObjectField::StartAt, "start-at" },
        { ObjectField::Deadline, "deadline" },
        { ObjectField::OnThinEvidence, "on-thin-evidence" },
    } };

    const KindRow& rowOf(FaultKind kind)
    {
        for (const auto& row : kindRows) {
            if (row.kind == kind)
                return row;
        }
        return kindRows.front();
    }

}

std::string_view toString(FaultKind kind) { return rowOf(kind).text; }
std::string_view toString(ObjectField it) { return enumText(fields, it); }
std::optional<ObjectField> objectFieldFromString(std::string_view text) { return enumValue(fields, text); }

std::string describe(const Fault& fault)
{
    std::string text { toString(fault.kind) };
    text += ": ";
    if (fault.object)
        text += toString(*fault.object) + " ";
    text += rowOf(fault.kind).sentence;
    if (fault.field != ObjectField::None)
        text += " (" + std::string { toString(fault.field) } + ")";
    if (!fault.value.empty())
        text += ": " + fault.value;
    if (fault.related)
        text += ": " + toString(*fault.related);
    if (fault.kind == FaultKind::StaleBase)
        text += " at offset " + std::to_string(fault.changedAt);
    return text;
}

}
