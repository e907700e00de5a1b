#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
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

/// The offset asked for is older than the oldest record kept.
struct LogTrimmed {
    std::uint64_t first = 0;
};

/// Streams of records with offsets, kept for a limited time. Knows no socket and no clock.
class LogStore {
public:
    static constexpr std::size_t s_maximumRecordBytes = 1 << 20;
    static constexpr std::size_t s_maximumPage = 1024;

    explicit LogStore(std::chrono::milliseconds retention)
        : m_retention(retention)
    {
    }

    std::uint64_t append(const std::string& stream, std::string body, MonotonicTime now);
    std::variant<LogPage, LogTrimmed> read(const std::string& stream, std::uint64_t from, std::size_t limit, MonotonicTime now);

    void setRetention(std::chrono::milliseconds retention) { m_retention = retention; }

private:
    struct Stream {
        std::uint64_t first = 0;
        std::deque<LogRecord> records;

        std::uint64_t next() const { return first + records.size(); }
    };

    Stream& trimmed(const std::string& stream, MonotonicTime now);

    std::chrono::milliseconds m_retention;
    std::map<std::string, Stream> m_streams;
};

}
