#pragma once

/// \file
/// Inputs and commands of the idempotency ledger.

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/routing/ClaimResult.h"
#include "carobpath/routing/IntentKey.h"
#include "carobpath/routing/Outcome.h"

#include <string>
#include <variant>
#include <vector>

namespace carobpath::routing {

/// A call claims its key, once. A claim that is not decided by the deadline is answered with \c Unavailable.
struct IntentClaim {
    IntentKey key;
    RequestId request;
    MonotonicTime deadline;
};

/// A call that had claimed its key ended.
struct IntentEnd {
    IntentKey key;
    RequestId request;
    /// \c NotRun releases the key, \c Ran is recorded, \c Unknown leaves the key held.
    Outcome outcome = Outcome::Unknown;
};

/// Append the bytes as one record to \c intentStream of the partition.
struct AppendIntents {
    Partition partition = 0;
    /// Id of the batch, to be passed back with the result of the append.
    std::string batch;
    std::string bytes;
};

/// Read the partition's stream from the offset, without waiting for new records.
struct ReadIntents {
    Partition partition = 0;
    publication::Offset from = 0;
};

/// Answer the claim of the request. Each claim is answered once, also one whose call has ended meanwhile.
struct AnswerClaim {
    RequestId request;
    ClaimResult result;
};

using LedgerCommand = std::variant<AppendIntents, ReadIntents, AnswerClaim>;
using LedgerCommands = std::vector<LedgerCommand>;

}
