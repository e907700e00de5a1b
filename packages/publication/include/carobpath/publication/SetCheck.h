#pragma once

/// \file
/// The checks that every published object and every version of the full set must pass. Object files and the state machine
/// use the same checks.

#include "carobpath/publication/Fault.h"
#include "carobpath/publication/Record.h"

namespace carobpath::publication {

/// Checks one object in isolation: names, limits and ranges.
Faults checkObject(const Service&);
Faults checkObject(const Route&);
Faults checkObject(const Version&);
Faults checkObject(const Move&);

/// Checks the full set: references, owners, hosts, conflicting routes and limits.
/// If two objects conflict, the fault is reported for the one that was changed last.
Faults checkSet(const ConfigurationSet&);

/// Checks a record with these changes against the set, exactly as the state machine does. The author is assumed to have read
/// the full set.
Faults checkChanges(const ConfigurationSet& base, const MemberName&, const std::vector<Change>&);

/// \returns whether the canonical encoding and the verdicts of unfinished moves fit into the size limit of a set.
bool fitsIntoSetBound(const ConfigurationSet&, std::size_t encodedBytes);

}
