#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/publication/ObjectRef.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::publication {

/// Kind of fault in an object or in a publish record.
enum class FaultKind : std::uint8_t {
    /// An object that the record touches was changed or deleted after the base of the record.
    StaleBase,
    /// The base is so old that the record's id might no longer be remembered.
    BaseTooOld,
    /// The base is greater than the offset of the record itself.
    BaseInFuture,
    EmptyRecord,
    /// The object belongs to another member, or names a member other than the record's.
    ForeignObject,
    /// The object refers to an object of another member.
    ForeignReference,
    /// The object refers to an object that is not in the set.
    DanglingReference,
    /// The version belongs to another service.
    WrongService,
    /// The record or the files contain the same object, host or method twice.
    DuplicateName,
    /// The object to delete does not exist.
    UnknownObject,
    /// The host already belongs to another service.
    HostTaken,
    /// Another route of the service has the same path prefix and a method in common.
    RouteConflict,
    /// The same record puts another move of the service.
    MoveConflict,
    /// The version to move to is already the current version of the service.
    MoveToCurrent,
    /// The deadline is not after the start.
    DeadlineBeforeStart,
    BadName,
    BadHost,
    BadPathPrefix,
    BadMethod,
    /// A duration or number is out of range.
    OutOfRange,
    /// The number of objects, hosts, methods or bytes exceeds a limit in \c bounds.
    BoundExceeded,
};

/// The part of an object that a fault concerns. Its text is the key in object files.
enum class ObjectField : std::uint8_t {
    None,
    Name,
    Member,
    Service,
    InitialVersion,
    Hosts,
    PathPrefix,
    Methods,
    Repeatability,
    TrafficClass,
    Timeout,
    To,
    StartAt,
    Deadline,
    OnThinEvidence,
};

/// One fault of an object, or of a record or set as a whole.
struct Fault {
    FaultKind kind = FaultKind::StaleBase;
    /// Empty if the fault concerns the record or set as a whole.
    std::optional<ObjectRef> object;
    ObjectField field = ObjectField::None;
    /// The other object, which is missing, foreign or in conflict.
    std::optional<ObjectRef> related;
    /// The host, path or method at fault, if any.
    std::string value;
    /// For StaleBase: the offset of the change that the author had not read.
    Offset changedAt = 0;

    friend bool operator==(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

/// \returns the stable text for scripts and JSON, such as "stale-base".
std::string_view toString(FaultKind);
/// \returns the key in object files, such as "path-prefix"; empty for None.
std::string_view toString(ObjectField);
std::optional<ObjectField> objectFieldFromString(std::string_view);
/// \returns a one-line description for operators.
std::string describe(const Fault&);

}
