#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/routing/IntentKey.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::routing {

/// What a request records about a key.
enum class IntentKind : std::uint8_t {
    /// The request claims the key. The first claim in log order holds it.
    Claim,
    /// The request ended without running. It releases the key and can never hold it again.
    Release,
    /// The request ran.
    Ran,
};

struct Intent {
    IntentKind kind = IntentKind::Claim;
    IntentKey key;
    RequestId request;

    friend bool operator==(const Intent&, const Intent&) = default;
};

/// Intents of many calls that are appended as one record. The writer looks up the id to find out whether an append
/// whose answer was lost took effect.
struct IntentBatch {
    std::string id;
    std::vector<Intent> intents;

    friend bool operator==(const IntentBatch&, const IntentBatch&) = default;
};

/// A record of an intents stream is not a valid batch of intents.
struct IntentRecordError { };

std::string encodeIntents(const IntentBatch&);

/// \returns the batch, or \c IntentRecordError.
Result<IntentBatch> decodeIntents(std::string_view body);

}
