#pragma once

#include "carobpath/publication/Fault.h"
#include "carobpath/publication/Record.h"

/// The checks that every published object and every version of the whole set pass. Object files and the fold of the log
/// use the same ones.
namespace carobpath::publication {

/// Checks one object by itself: names, bounds and ranges.
Faults checkObject(const Service&);
Faults checkObject(const Route&);
Faults checkObject(const Version&);
Faults checkObject(const Move&);

/// Checks the whole set: references, owners, hosts, routes that conflict, and bounds.
/// Where two objects conflict, the fault is on the one that was changed last.
Faults checkSet(const ConfigurationSet&);

/// Checks what a record with these changes would do to the set, exactly as the fold of the log does; the author is taken
/// to have seen the whole set.
Faults checkChanges(const ConfigurationSet& base, const MemberName&, const std::vector<Change>&);

/// \returns whether the canonical encoding, and the verdicts to come, fit into the bound of a set.
bool fitsIntoSetBound(const ConfigurationSet&, std::size_t encodedBytes);

}
