#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace carobpath::standins {

/// Faults that the backend stand-in shows on demand. The conditions narrow down when failRate and slow apply;
/// all of them must be met.
struct BackendSwitches {
    /// Share of calls answered with 500, from 0 to 1.
    double failRate = 0;
    /// Added to each call's work.
    std::chrono::milliseconds slow { 0 };

    /// Condition: the process runs for longer.
    std::chrono::milliseconds badAfter { 0 };
    /// Condition: the path starts with it.
    std::string badPathPrefix;
    /// Condition: more calls than this are in flight.
    std::uint64_t badAboveInFlight = 0;

    /// Calls get no answer, and hold their slot.
    bool isFrozen = false;
    /// Answers announce their whole length and end half-way.
    bool hasShortAnswers = false;
    /// `/health` answers 200 or 503 regardless of the truth.
    std::optional<bool> claimedHealth;
    /// `/load` answers this number regardless of the truth.
    std::optional<std::uint64_t> claimedInFlight;
    /// `/load` tells the state of this long ago.
    std::chrono::milliseconds loadLag { 0 };
    /// Header fields of every answer, by name.
    std::map<std::string, std::string> answerHeaders;
    /// Work of each call.
    std::optional<std::chrono::milliseconds> work;
};

/// Changes the switches that the JSON object names; null takes an optional one back. Throws std::invalid_argument.
void applySwitches(BackendSwitches&, const std::string& json);

}
