#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/Fault.h"
#include "carobpath/publication/Record.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Object files: YAML documents in which members write their objects. A document is either one object with a key "kind",
/// or lists of objects under "services", "routes", "versions" and "moves".
namespace carobpath::publication {

/// Place in a file, counted from 1; line 0 where there is none.
struct SourceLocation {
    std::string file;
    int line = 0;
    int column = 0;

    friend bool operator==(const SourceLocation&, const SourceLocation&) = default;
};

/// An object of a file and where its parts stand.
struct LocatedObject {
    Change change;
    SourceLocation mark;
    std::map<ObjectField, SourceLocation> fields;
    /// Items of lists, by their value.
    std::map<std::pair<ObjectField, std::string>, SourceLocation> items;
};

enum class ObjectFaultKind : std::uint8_t {
    UnreadableFile,
    TooLarge,
    Syntax,
    WrongType,
    UnknownKey,
    MissingKey,
    DuplicateKey,
    BadDuration,
    BadTime,
    BadChoice,
    /// The object or the set does not pass the checks that every published set passes.
    Check,
};

/// One fault of an object file.
struct ObjectFault {
    SourceLocation mark;
    ObjectFaultKind kind = ObjectFaultKind::Syntax;
    /// The key at fault, such as "path-prefix"; may be empty.
    std::string key;
    std::string detail;
    /// For Check.
    std::optional<Fault> check;
};

using ObjectFaults = std::vector<ObjectFault>;

/// What was read from a file: its objects that have no fault of their own, and every fault.
struct ObjectFile {
    std::vector<LocatedObject> objects;
    ObjectFaults faults;
};

struct ObjectFileOptions {
    /// Member of objects that name none.
    MemberName member;
    /// The moment that times such as "+30s" count from.
    WallTime publishedAt;
};

/// Reads the text of a file.
ObjectFile readObjects(std::string_view yaml, const std::string& file, const ObjectFileOptions&);

/// Reads a file of at most 1 MiB.
ObjectFile readObjectFile(const std::string& path, const ObjectFileOptions&);

/// Checks the objects and deletions against the set in force, or an empty one, exactly as the fold of the log will.
/// \returns every fault, those of objects at their line and column.
ObjectFaults checkObjects(const std::vector<LocatedObject>&, const std::vector<Change>& deletions, const ConfigurationSet& base, const MemberName&);

/// Finds the place of each fault among the objects.
ObjectFaults locate(const Faults&, const std::vector<LocatedObject>&);

/// \returns the stable text of scripts and JSON, such as "unknown-key"; for Check the text of the check's own kind.
std::string_view kindText(const ObjectFault&);

/// \returns "FILE:LINE:COLUMN: what is wrong".
std::string describe(const ObjectFault&);

}
