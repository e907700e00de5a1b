#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carobpath::standins {

struct LogRecord {
    std::uint64_t offset = 0;
    std::string body;
    MonotonicTime appendedAt;
};

struct LogPage {
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<LogRecord> records;
};

/// The offset asked for is older than the oldest record kept, or lies beyond the end.
struct LogTrimmed {
    std::uint64_t first = 0;
};

/// The newest record of one key of a keyed topic.
struct NewestRecord {
    std::uint64_t offset = 0;
    std::string value;
};

/// What an append came to.
enum class AppendOutcome {
    Done,
    /// The topic does not end where the condition says.
    ConditionFailed,
    /// A later epoch of the producer was seen.
    Fenced,
    /// The producer's sequence does not follow the last one.
    OutOfSequence,
};

struct AppendReply {
    AppendOutcome outcome = AppendOutcome::Done;
    std::uint64_t offset = 0;
    std::uint64_t end = 0;
    /// The sequence that is expected, where it does not follow.
    std::uint64_t expectedSequence = 0;
};

/// Who appends, where the call says so.
struct Producer {
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// Topics of records with offsets, kept for a limited time; keyed ones keep the newest record of each key for good.
/// Knows no socket and no clock.
class LogStore {
public:
    static constexpr std::size_t s_maximumRecordBytes = 1 << 20;
    static constexpr std::size_t s_maximumPage = 500;
    static constexpr std::size_t s_repeatsKnown = 5;

    explicit LogStore(std::chrono::milliseconds retention)
        : m_retention(retention)
    {
    }

    /// Appends all records or none.
    AppendReply append(const std::string& topic, const std::vector<std::string>& records, std::optional<std::uint64_t> at,
        const std::optional<Producer>&, MonotonicTime now);
    std::variant<LogPage, LogTrimmed> read(const std::string& topic, std::uint64_t from, std::size_t bytes, MonotonicTime now);
    /// Deletes the records before the offset.
    void trim(const std::string& topic, std::uint64_t before);

    /// \returns the newest record of each key, in the order of the keys.
    const std::map<std::string, NewestRecord>& newest(const std::string& topic) { return m_topics[topic].newest; }
    std::uint64_t end(const std::string& topic) { return m_topics[topic].next(); }

    /// Loses the records that were appended after a time; their offsets are given out again.
    void forgetSince(MonotonicTime);

    void setRetention(std::chrono::milliseconds retention) { m_retention = retention; }

private:
    struct ProducerState {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::deque<std::pair<std::uint64_t, AppendReply>> replies;
    };
    struct Topic {
        std::uint64_t first = 0;
        std::deque<LogRecord> records;
        std::map<std::string, NewestRecord> newest;
        std::map<std::string, ProducerState> producers;

        std::uint64_t next() const { return first + records.size(); }
    };

    static std::optional<AppendReply> checkProducer(Topic&, const Producer&);
    static void keepNewest(Topic&, const LogRecord&);
    static void forgetSince(Topic&, MonotonicTime);
    Topic& trimmed(const std::string& topic, MonotonicTime now);

    std::chrono::milliseconds m_retention;
    std::map<std::string, Topic> m_topics;
};

}
