#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/publication/ConfigurationSet.h"

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

/// The interface to the platform's append-only log.
namespace carobpath::publication {

/// Stream of published records, verdicts and checkpoints.
inline constexpr std::string_view configurationStream = "configuration";

enum class LogError : std::uint8_t {
    /// The log did not take the request: it could not be reached, or it said that it is down.
    Unavailable,
    /// The request was sent and no answer came: an append may have taken effect.
    AnswerLost,
    /// No answer to a read in time.
    TimedOut,
    /// The answer to a read is not one that the log gives.
    Malformed,
    /// The log refused the request itself, such as a record that is too large; sending it again does not help.
    Refused,
    /// An append came with a condition, and the log had grown meanwhile; nothing was done.
    ConditionFailed,
};

/// Why an operation on the log failed.
struct LogFailure {
    LogError error = LogError::Unavailable;
    /// HTTP status of the answer; 0 where there was none.
    unsigned status = 0;

    friend bool operator==(const LogFailure&, const LogFailure&) = default;
};

/// The record is in the log.
struct Appended {
    Offset offset = 0;

    friend bool operator==(const Appended&, const Appended&) = default;
};

struct LogRecord {
    Offset offset = 0;
    std::string body;

    friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// Records in log order; empty where none came within the wait.
struct LogBatch {
    /// Offset of the oldest record that the log keeps.
    Offset first = 0;
    /// Offset that the next append gets.
    Offset next = 0;
    std::vector<LogRecord> records;

    friend bool operator==(const LogBatch&, const LogBatch&) = default;
};

/// The log no longer keeps the record that the read was to begin with.
struct Trimmed {
    /// Offset of the oldest record that the log keeps.
    Offset first = 0;

    friend bool operator==(const Trimmed&, const Trimmed&) = default;
};

using AppendResult = std::variant<Appended, LogFailure>;
using ReadResult = std::variant<LogBatch, Trimmed, LogFailure>;
using AppendHandler = std::function<void(AppendResult)>;
using ReadHandler = std::function<void(ReadResult)>;

/// A log that appends and reads without blocking. Handlers run on the thread of the log's executor, never inside the call.
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

/// \returns the stable text of logs, such as "answer-lost".
std::string_view toString(LogError);

}
