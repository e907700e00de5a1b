#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/routing/ClaimResult.h"
#include "carobpath/routing/IntentKey.h"
#include "carobpath/routing/Outcome.h"

#include <string>
#include <variant>
#include <vector>

/// The vocabulary of the idempotency ledger.
namespace carobpath::routing {

/// A call asks for its key. It asks once; what is not answered by the deadline is answered \c Unavailable.
struct IntentClaim {
    IntentKey key;
    RequestId request;
    MonotonicTime deadline;
};

/// A call that had asked for its key ended.
struct IntentEnd {
    IntentKey key;
    RequestId request;
    /// \c NotRun gives the key up, \c Ran is remembered, \c Unknown keeps the key held.
    Outcome outcome = Outcome::Unknown;
};

/// Append the bytes as one record to \c intentStream of the partition.
struct AppendIntents {
    Partition partition = 0;
    /// To be handed back with the result.
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
