#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobpath::standins {

/// How one call of a load ended.
struct LoadResult {
    std::uint64_t call = 0;
    std::string method;
    std::string target;
    /// 0 where no whole answer came.
    unsigned status = 0;
    /// Carobpath-Outcome, or empty.
    std::string outcome;
    std::string reason;
    std::string requestId;
    /// X-Version of the backend server, or empty.
    std::string version;
    /// The answer was whole and belonged to this call; always true where no whole answer came.
    bool isOwnAnswer = true;
    std::string error;
    /// From the moment the call was due, so that a stalled generator hides nothing.
    std::chrono::microseconds latency { 0 };
};

/// Counts and latencies of a whole load.
class LoadReport {
public:
    void add(const LoadResult&);

    /// \returns one JSON object.
    std::string json(std::chrono::milliseconds duration) const;

    std::uint64_t wrongAnswers() const { return m_wrongAnswers; }

private:
    std::uint64_t m_calls = 0;
    std::uint64_t m_wrongAnswers = 0;
    std::map<std::string, std::uint64_t> m_byStatus;
    std::map<std::string, std::uint64_t> m_byOutcome;
    std::map<std::string, std::uint64_t> m_byReason;
    std::map<std::string, std::uint64_t> m_byVersion;
    std::map<std::string, std::uint64_t> m_byError;
    std::vector<std::chrono::microseconds> m_latencies;
};

}
