#include "BackendSwitches.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <stdexcept>

namespace carobpath::standins {

namespace {

    using Json = nlohmann::json;
    using Setter = std::function<void(BackendSwitches&, const Json&)>;

    std::chrono::milliseconds millis(const Json& value) { return std::chrono::milliseconds(value.get<std::uint32_t>()); }

    template <typename T>
    std::optional<T> optionalOf(const Json& value)
    {
        if (value.is_null())
            return std::nullopt;
        return value.get<T>();
    }

    const std::map<std::string, Setter>& setters()
    {
        static const std::map<std::string, Setter> it {
            { "failRate", [](auto& s, const auto& v) { s.failRate = v; } },
            { "slowMs", [](auto& s, const auto& v) { s.slow = millis(v); } },
            { "badAfterMs", [](auto& s, const auto& v) { s.badAfter = millis(v); } },
            { "badPathPrefix", [](auto& s, const auto& v) { s.badPathPrefix = v; } },
            { "badAboveInFlight", [](auto& s, const auto& v) { s.badAboveInFlight = v; } },
            { "freeze", [](auto& s, const auto& v) { s.isFrozen = v; } },
            { "shortAnswers", [](auto& s, const auto& v) { s.hasShortAnswers = v; } },
            { "claimedHealth", [](auto& s, const auto& v) { s.claimedHealth = optionalOf<bool>(v); } },
            { "claimedInFlight", [](auto& s, const auto& v) { s.claimedInFlight = optionalOf<std::uint64_t>(v); } },
            { "loadLagMs", [](auto& s, const auto& v) { s.loadLag = millis(v); } },
            { "answerHeaders", [](auto& s, const auto& v) { s.answerHeaders = v.template get<std::map<std::string, std::string>>(); } },
            { "workMs", [](auto& s, const auto& v) { s.work = millis(v); } },
        };
        return it;
    }

}

void applySwitches(BackendSwitches& switches, const std::string& json)
{
    try {
        const auto object = Json::parse(json);
        for (const auto& [key, value] : object.items())
            setters().at(key)(switches, value);
    } catch (const std::exception& e) {
        throw std::invalid_argument(std::string("bad switches: ") + e.what());
    }
}

}
