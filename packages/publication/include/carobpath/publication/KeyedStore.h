#pragma once

/// \file
/// The interface to streams of the platform's log that keep the newest record of each key indefinitely.

#include "carobpath/publication/LogService.h"

#include <concepts>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carobpath::publication {

struct KeyedRecord {
    Offset offset = 0;
    std::string key;
    /// Empty if the record removes the key.
    std::optional<std::string> value;
    /// Era in which the record was read.
    StoreEra era {};

    friend bool operator==(const KeyedRecord&, const KeyedRecord&) = default;
};

/// Records of a keyed stream. A listing is not a consistent snapshot: it may include records after \c next.
struct KeyedBatch {
    /// Offset from which reading continues.
    Offset next = 0;
    std::vector<KeyedRecord> records;
    /// Era of the store when it answered.
    StoreEra era {};
    /// Entries of the answer that could not be read, and are not among the records.
    std::size_t skipped = 0;

    StreamPosition end() const { return { era, next }; }

    friend bool operator==(const KeyedBatch&, const KeyedBatch&) = default;
};

using KeyedResult = std::variant<KeyedBatch, Trimmed, LogFailure>;
using KeyedHandler = std::function<void(KeyedResult)>;
/// Called when the answer to a read begins to arrive; may be empty.
using AnswerBegunHandler = std::function<void()>;

/// The end of a stream: the position that its next record will have.
using EndResult = std::variant<StreamPosition, LogFailure>;
using EndHandler = std::function<void(EndResult)>;

/// Reads and writes keyed streams without blocking. Handlers run on the thread of the store's executor, never inside the call.
template <typename T>
concept KeyedStore = requires(T& store, std::string stream, KeyedRecord record, Offset from, std::optional<StreamPosition> at, std::chrono::milliseconds wait)
{
    {
        store.listNewest(stream, KeyedHandler {})
        } -> std::same_as<void>;
    {
        store.readKeyed(stream, from, wait, KeyedHandler {}, AnswerBegunHandler {})
        } -> std::same_as<void>;
    {
        store.checkEnd(stream, from, EndHandler {})
        } -> std::same_as<void>;
    {
        store.put(stream, record, at, AppendHandler {})
        } -> std::same_as<void>;
    {
        store.closeIdleConnections()
        } -> std::same_as<void>;
};

}
