#include "LogSwitches.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <stdexcept>

namespace carobpath::standins {

namespace {

    using Setter = std::function<void(LogSwitches&, const nlohmann::json&)>;

    std::chrono::milliseconds millis(const nlohmann::json& value) { return std::chrono::milliseconds(value.get<std::uint32_t>()); }

    const std::map<std::string, Setter>& setters()
    {
        static const std::map<std::string, Setter> it {
            { "down", [](auto& s, const auto& v) { s.isDown = v; } },
            { "readsDown", [](auto& s, const auto& v) { s.areReadsDown = v; } },
            { "appendsDown", [](auto& s, const auto& v) { s.areAppendsDown = v; } },
            { "refusesAll", [](auto& s, const auto& v) { s.refusesAll = v; } },
            { "silent", [](auto& s, const auto& v) { s.isSilent = v; } },
            { "latencyMs", [](auto& s, const auto& v) { s.latency = millis(v); } },
            { "slowMs", [](auto& s, const auto& v) { s.slow = millis(v); } },
            { "answerLostAfterWrite", [](auto& s, const auto& v) { s.answersLostAfterWrite = v; } },
            { "appendsPerSecond", [](auto& s, const auto& v) { s.appendsPerSecond = v; } },
            { "comeBackFromCopyMs", [](auto& s, const auto& v) { s.copyAge = millis(v); } },
            { "retentionMs", [](auto& s, const auto& v) { s.retention = millis(v); } },
        };
        return it;
    }

}

void applySwitches(LogSwitches& switches, const std::string& json)
{
    try {
        const auto object = nlohmann::json::parse(json);
        for (const auto& [key, value] : object.items())
            setters().at(key)(switches, value);
    } catch (const std::exception& e) {
        throw std::invalid_argument(std::string("bad switches: ") + e.what());
    }
}

}
