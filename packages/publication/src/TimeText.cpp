#include "internal/TimeText.h"

#include "carobpath/foundation/SettingParsers.h"

#include <charconv>

namespace carobpath::publication::Detail {

namespace {

    using namespace std::chrono_literals;

    constexpr Bounds<std::chrono::microseconds> anyDuration { 0us, std::chrono::hours { 24 * 366 } };

    /// Removes a number with exactly this many digits and the character that follows it from the front of the text.
    std::optional<int> takeNumber(std::string_view& text, std::size_t digits, char after)
    {
        if (text.size() <= digits || text[digits] != after)
            return std::nullopt;
        int value = 0;
        for (const char c : text.substr(0, digits)) {
            if (c < '0' || c > '9')
                return std::nullopt;
            value = value * 10 + (c - '0');
        }
        text.remove_prefix(digits + 1);
        return value;
    }

    /// Reads "00Z" or "00.250Z".
    std::optional<std::chrono::milliseconds> secondsFrom(std::string_view text)
    {
        auto rest = text;
        if (const auto whole = takeNumber(rest, 2, 'Z'))
            return rest.empty() && *whole < 60 ? std::optional { std::chrono::milliseconds { std::chrono::seconds { *whole } } } : std::nullopt;
        rest = text;
        const auto whole = takeNumber(rest, 2, '.');
        const auto millis = whole ? takeNumber(rest, 3, 'Z') : std::nullopt;
        if (!millis || !rest.empty() || *whole >= 60)
            return std::nullopt;
        return std::chrono::seconds { *whole } + std::chrono::milliseconds { *millis };
    }

    std::optional<WallTime> utcFrom(std::string_view text)
    {
        const auto year = takeNumber(text, 4, '-');
        const auto month = year ? takeNumber(text, 2, '-') : std::nullopt;
        const auto day = month ? takeNumber(text, 2, 'T') : std::nullopt;
        const auto hour = day ? takeNumber(text, 2, ':') : std::nullopt;
        const auto minute = hour ? takeNumber(text, 2, ':') : std::nullopt;
        const auto seconds = minute ? secondsFrom(text) : std::nullopt;
        if (!seconds || *hour >= 24 || *minute >= 60)
            return std::nullopt;
        const std::chrono::year_month_day date { std::chrono::year { *year }, std::chrono::month { static_cast<unsigned>(*month) }, std::chrono::day { static_cast<unsigned>(*day) } };
        if (!date.ok())
            return std::nullopt;
        return WallTime { std::chrono::sys_days { date } } + std::chrono::hours { *hour } + std::chrono::minutes { *minute } + *seconds;
    }

}

std::optional<std::chrono::milliseconds> durationFromText(std::string_view text)
{
    const auto parsed = parseDuration(text, anyDuration);
    const auto* duration = std::get_if<std::chrono::microseconds>(&parsed);
    if (!duration || *duration % 1ms != 0us)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
}

std::optional<WallTime> wallTimeFromText(std::string_view text, WallTime publishedAt)
{
    if (!text.starts_with('+'))
        return utcFrom(text);
    const auto after = durationFromText(text.substr(1));
    return after ? std::optional { publishedAt + *after } : std::nullopt;
}

}
