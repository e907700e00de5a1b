#pragma once

/// \file
/// Object files: YAML documents in which members define their objects. A document is either one object with a key "kind",
/// or lists of objects under "services", "routes", "versions" and "moves".

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/Fault.h"
#include "carobpath/publication/Record.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobpath::publication {

/// Position in a file. Lines and columns are counted from 1; line 0 means that the position is unknown.
struct SourceLocation {
    std::string file;
    int line = 0;
    int column = 0;

    friend bool operator==(const SourceLocation&, const SourceLocation&) = default;
};

/// An object of a file with the positions of its parts.
struct LocatedObject {
    Change change;
    SourceLocation mark;
    std::map<ObjectField, SourceLocation> fields;
    /// Positions of list items, by field and value.
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
    /// The object or the set does not pass the checks that apply to every published set.
    Check,
};

/// One fault in an object file.
struct ObjectFault {
    SourceLocation mark;
    ObjectFaultKind kind = ObjectFaultKind::Syntax;
    /// The key at fault, such as "path-prefix"; may be empty.
    std::string key;
    std::string detail;
    /// Set if \c kind is Check.
    std::optional<Fault> check;
};

using ObjectFaults = std::vector<ObjectFault>;

/// The content of a file: the objects without faults of their own, and all faults.
struct ObjectFile {
    std::vector<LocatedObject> objects;
    ObjectFaults faults;
};

struct ObjectFileOptions {
    /// Member of objects that do not name one.
    MemberName member;
    /// Reference time for relative times such as "+30s".
    WallTime publishedAt;
};

/// Reads the text of a file.
ObjectFile readObjects(std::string_view yaml, const std::string& file, const ObjectFileOptions&);

/// Reads a file of at most 1 MiB.
ObjectFile readObjectFile(const std::string& path, const ObjectFileOptions&);

/// Checks the objects and deletions against the active set, or an empty one, exactly as the state machine will.
/// \returns all faults; those of objects have their line and column.
ObjectFaults checkObjects(const std::vector<LocatedObject>&, const std::vector<Change>& deletions, const ConfigurationSet& base, const MemberName&);

/// Finds the position of each fault in the object files.
ObjectFaults locate(const Faults&, const std::vector<LocatedObject>&);

/// \returns the stable text for scripts and JSON, such as "unknown-key"; for Check, the text of the fault kind of the check.
std::string_view kindText(const ObjectFault&);

/// \returns "FILE:LINE:COLUMN: DESCRIPTION".
std::string describe(const ObjectFault&);

}
