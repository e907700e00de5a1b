#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/publication/ObjectRef.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::publication {

/// What is wrong with an object or with a publish record.
enum class FaultKind : std::uint8_t {
    /// An object that the record touches was changed or deleted after the base of the record.
    StaleBase,
    /// The base is so old that the record's id might have been forgotten.
    BaseTooOld,
    /// The base lies behind the record itself.
    BaseInFuture,
    EmptyRecord,
    /// The object belongs to another member, or names another member than the record's.
    ForeignObject,
    /// The object refers to an object of another member.
    ForeignReference,
    /// The object refers to one that is not in the set.
    DanglingReference,
    /// The version belongs to another service.
    WrongService,
    /// The record or the files name the same object, host or method twice.
    DuplicateName,
    /// A deletion of what is not there.
    UnknownObject,
    /// Another service has the host already.
    HostTaken,
    /// Another route of the service has the same path prefix and a method in common.
    RouteConflict,
    /// Another move of the service is put by the same record.
    MoveConflict,
    /// The service runs on this version already.
    MoveToCurrent,
    /// The deadline is not after the start.
    DeadlineBeforeStart,
    BadName,
    BadHost,
    BadPathPrefix,
    BadMethod,
    /// A duration or number out of its bounds.
    OutOfRange,
    /// More objects, hosts, methods or bytes than a named bound allows.
    BoundExceeded,
};

/// The part of an object that a fault is about. Its text is the key in object files.
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
    /// Nothing where the fault is of the whole record or set.
    std::optional<ObjectRef> object;
    ObjectField field = ObjectField::None;
    /// The other object: the one that is missing, foreign or in conflict.
    std::optional<ObjectRef> related;
    /// The host, path or method at fault, where there is one.
    std::string value;
    /// For StaleBase: the offset of the change that the author had not seen.
    Offset changedAt = 0;

    friend bool operator==(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

/// \returns the stable text of scripts and JSON, such as "stale-base".
std::string_view toString(FaultKind);
/// \returns the key in object files, such as "path-prefix"; empty for None.
std::string_view toString(ObjectField);
std::optional<ObjectField> objectFieldFromString(std::string_view);
/// \returns one line for operators.
std::string describe(const Fault&);

}
