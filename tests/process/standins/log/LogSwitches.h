#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace carobpath::standins {

/// Faults that the log stand-in shows on demand.
struct LogSwitches {
    /// Each read and append is answered with 503.
    bool isDown = false;
    bool areReadsDown = false;
    bool areAppendsDown = false;
    /// Each read and append is refused with 429.
    bool refusesAll = false;
    /// Reads and appends get no answer at all.
    bool isSilent = false;
    /// Delay before a read or append takes effect.
    std::chrono::milliseconds latency { 0 };
    /// Further delay between effect and answer.
    std::chrono::milliseconds slow { 0 };
    /// This many appends take effect and lose their answer.
    std::uint64_t answersLostAfterWrite = 0;
    /// Appends beyond this rate wait; 0 is no limit.
    std::uint64_t appendsPerSecond = 0;
    /// The store comes back from a copy of this age; 0 leaves it as it is.
    std::chrono::milliseconds copyAge { 0 };
    /// 0 leaves the retention as it is.
    std::chrono::milliseconds retention { 0 };
};

/// Changes the switches that the JSON object names; throws std::invalid_argument for anything else.
void applySwitches(LogSwitches&, const std::string& json);

}
