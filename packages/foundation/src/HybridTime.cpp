#include "carobpath/foundation/HybridTime.h"

#include <charconv>

namespace carobpath {

namespace {

    template <typename Integer>
    std::optional<Integer> wholeNumber(std::string_view text)
    {
        Integer value {};
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc {} || end != text.data() + text.size() || text.front() == '-')
            return std::nullopt;
        return value;
    }

}

std::string toString(const HybridTime& time)
{
    return std::to_string(time.wall.time_since_epoch().count()) + "." + std::to_string(time.counter);
}

std::optional<HybridTime> hybridTimeFromText(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == text.size())
        return std::nullopt;
    const auto millis = wholeNumber<std::int64_t>(text.substr(0, dot));
    const auto counter = wholeNumber<std::uint32_t>(text.substr(dot + 1));
    if (!millis || !counter)
        return std::nullopt;
    return HybridTime { WallTime(std::chrono::milliseconds(*millis)), *counter };
}

}
