#pragma once

/// \file
/// The interface to the platform's append-only log.

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/publication/StoreEra.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace carobpath::publication {

/// Stream of published records, verdicts and checkpoints.
inline constexpr std::string_view configurationStream = "configuration";

enum class LogError : std::uint8_t {
    /// The log did not accept the request: it was unreachable, or it reported that it is down.
    Unavailable,
    /// The request was sent but no answer was received: an append may have taken effect.
    AnswerLost,
    /// A read was not answered within its timeout.
    TimedOut,
    /// The answer to a read does not have the format that the log uses.
    Malformed,
    /// The log refused the request, for example because the record is too large; retrying does not help.
    Refused,
    /// The condition of an append did not hold, because the log had grown in the meantime; nothing was appended.
    ConditionFailed,
};

/// Failure of an operation on the log.
struct LogFailure {
    LogError error = LogError::Unavailable;
    /// HTTP status of the answer; 0 if there was no answer.
    unsigned status = 0;

    friend bool operator==(const LogFailure&, const LogFailure&) = default;
};

/// The record was appended to the log.
struct Appended {
    Offset offset = 0;
    /// Era in which the log acknowledged the record.
    StoreEra era {};

    friend bool operator==(const Appended&, const Appended&) = default;
};

struct LogRecord {
    Offset offset = 0;
    std::string body;

    friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// Records in log order; empty if none was appended within the wait.
struct LogBatch {
    /// Offset of the oldest record that the log keeps.
    Offset first = 0;
    /// Offset that the next appended record will have.
    Offset next = 0;
    std::vector<LogRecord> records;

    friend bool operator==(const LogBatch&, const LogBatch&) = default;
};

/// The log no longer keeps the first record that the read requested.
struct Trimmed {
    /// Offset of the oldest record that the log keeps.
    Offset first = 0;

    friend bool operator==(const Trimmed&, const Trimmed&) = default;
};

using AppendResult = std::variant<Appended, LogFailure>;
using ReadResult = std::variant<LogBatch, Trimmed, LogFailure>;
using AppendHandler = std::function<void(AppendResult)>;
using ReadHandler = std::function<void(ReadResult)>;

/// A log with non-blocking appends and reads. Handlers run on the thread of the log's executor, never inside the call.
template <typename T>
concept LogService = requires(T& log, std::string stream, std::string bytes, Offset from, std::chrono::milliseconds wait, std::size_t limit)
{
    {
        log.append(std::move(stream), std::move(bytes), AppendHandler {})
        } -> std::same_as<void>;
    {
        log.read(std::move(stream), from, wait, limit, ReadHandler {})
        } -> std::same_as<void>;
};

/// \returns the stable text for logs, such as "answer-lost".
std::string_view toString(LogError);

}
