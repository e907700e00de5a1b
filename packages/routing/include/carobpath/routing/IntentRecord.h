#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/routing/IntentKey.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::routing {

/// What a record says of a key.
enum class IntentKind : std::uint8_t {
    /// The request wants the key. The first in log order gets it.
    Claim,
    /// The request ended without running: it gives the key up, and can never hold it again.
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

/// One append: intents of many calls. The id tells its writer whether an append whose answer was lost took effect.
struct IntentBatch {
    std::string id;
    std::vector<Intent> intents;

    friend bool operator==(const IntentBatch&, const IntentBatch&) = default;
};

/// A record of an intents stream that is none.
struct IntentRecordError { };

std::string encodeIntents(const IntentBatch&);

/// \returns the batch, or \c IntentRecordError.
Result<IntentBatch> decodeIntents(std::string_view body);

}
