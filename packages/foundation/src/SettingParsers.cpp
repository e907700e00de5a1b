#include "carobpath/foundation/SettingParsers.h"

#include "carobpath/foundation/Hex.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace carobpath {

namespace {

    struct Unit {
        std::string_view text;
        std::uint64_t factor;
    };

    // Largest first, so that the shortest text is found first.
    constexpr std::array<Unit, 5> durationUnits { {
        { "h", 3'600'000'000 },
        { "m", 60'000'000 },
        { "s", 1'000'000 },
        { "ms", 1'000 },
        { "us", 1 },
    } };

    constexpr std::array<Unit, 3> sizeUnits { {
        { "MiB", 1 << 20 },
        { "KiB", 1 << 10 },
        { "", 1 },
    } };

    constexpr std::size_t maximumPathLength = 4096;

    /// \returns the amount in the smallest unit; empty where the text or its unit is wrong or too large.
    template <std::size_t count>
    std::optional<std::uint64_t> amount(std::string_view text, const std::array<Unit, count>& units)
    {
        std::uint64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc {})
            return std::nullopt;
        const std::string_view suffix(end, static_cast<std::size_t>(text.data() + text.size() - end));
        const auto unit = std::find_if(units.begin(), units.end(), [&](const Unit& it) { return it.text == suffix; });
        if (unit == units.end() || number > std::numeric_limits<std::int64_t>::max() / unit->factor)
            return std::nullopt;
        return number * unit->factor;
    }

    template <std::size_t count>
    std::string amountText(std::uint64_t number, const std::array<Unit, count>& units)
    {
        for (const Unit& unit : units) {
            if (number > 0 && number % unit.factor == 0)
                return std::to_string(number / unit.factor) + std::string(unit.text);
        }
        return "0" + std::string(units.back().text);
    }

    /// The same, with a decimal fraction allowed; what is below one unit of the result is cut off.
    template <std::size_t count>
    std::optional<std::uint64_t> decimalAmount(std::string_view text, const std::array<Unit, count>& units)
    {
        const auto point = text.find('.');
        if (point == std::string_view::npos)
            return amount(text, units);
        const auto unitAt = text.find_first_not_of("0123456789", point + 1);
        const auto fraction = text.substr(point + 1, unitAt == std::string_view::npos ? unitAt : unitAt - point - 1);
        constexpr std::size_t mostDigits = 6;
        if (fraction.empty() || fraction.size() > mostDigits || unitAt == std::string_view::npos)
            return std::nullopt;
        const std::string unit { text.substr(unitAt) };
        const auto whole = amount(std::string { text.substr(0, point) } + unit, units);
        const auto part = amount(std::string { fraction } + unit, units);
        if (!whole || !part)
            return std::nullopt;
        std::uint64_t scale = 1;
        for (std::size_t i = 0; i < fraction.size(); ++i)
            scale *= 10;
        return *whole + *part / scale;
    }

    std::string outside(const std::string& lowest, const std::string& highest)
    {
        return "must be from " + lowest + " to " + highest;
    }

    bool isNameEdge(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

    std::optional<std::uint16_t> parsePort(std::string_view text)
    {
        std::uint16_t port = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return port;
    }

}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maximumNameLength || !isNameEdge(text.front()) || !isNameEdge(text.back()))
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) { return isNameEdge(c) || c == '-'; });
}

Parsed<std::string> parseName(std::string_view text)
{
    if (!isName(text))
        return SettingProblem { SettingsFaultKind::BadName, "must be 1 to 63 lower-case letters, digits and dashes, with no dash at either end" };
    return std::string(text);
}

Parsed<Endpoint> parseEndpoint(std::string_view text)
{
    const SettingProblem problem { SettingsFaultKind::BadEndpoint, "must be an IP number and a port, such as 10.0.0.7:8080 or [::1]:8080" };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return problem;
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    const auto port = parsePort(text.substr(colon + 1));
    if (ec || !port || address.is_v6() != isBracketed)
        return problem;
    return Endpoint { address.to_string(), *port };
}

Parsed<std::chrono::microseconds> parseDuration(std::string_view text, Bounds<std::chrono::microseconds> bounds)
{
    const auto number = decimalAmount(text, durationUnits);
    if (!number)
        return SettingProblem { SettingsFaultKind::BadDuration, "must be a number with a unit of us, ms, s, m or h, such as 250ms or 2.5s" };
    const std::chrono::microseconds duration(static_cast<std::int64_t>(*number));
    if (duration < bounds.lowest || duration > bounds.highest)
        return SettingProblem { SettingsFaultKind::OutOfBounds, outside(durationText(bounds.lowest), durationText(bounds.highest)) };
    return duration;
}

Parsed<std::uint64_t> parseSize(std::string_view text, Bounds<std::uint64_t> bounds)
{
    const auto bytes = amount(text, sizeUnits);
    if (!bytes)
        return SettingProblem { SettingsFaultKind::BadSize, "must be a whole number of bytes, or with a unit of KiB or MiB, such as 64KiB" };
    if (*bytes < bounds.lowest || *bytes > bounds.highest)
        return SettingProblem { SettingsFaultKind::OutOfBounds, outside(sizeText(bounds.lowest), sizeText(bounds.highest)) };
    return *bytes;
}

Parsed<std::int64_t> parseInteger(std::string_view text, Bounds<std::int64_t> bounds)
{
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc {} || end != text.data() + text.size())
        return SettingProblem { SettingsFaultKind::BadInteger, "must be a whole number" };
    if (number < bounds.lowest || number > bounds.highest)
        return SettingProblem { SettingsFaultKind::OutOfBounds, outside(std::to_string(bounds.lowest), std::to_string(bounds.highest)) };
    return number;
}

Parsed<double> parseDecimal(std::string_view text, Bounds<double> bounds)
{
    double number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc {} || end != text.data() + text.size() || !std::isfinite(number))
        return SettingProblem { SettingsFaultKind::BadDecimal, "must be a number, such as 0.2" };
    if (number < bounds.lowest || number > bounds.highest)
        return SettingProblem { SettingsFaultKind::OutOfBounds, outside(decimalText(bounds.lowest), decimalText(bounds.highest)) };
    return number;
}

Parsed<bool> parseSwitch(std::string_view text)
{
    if (text == "on" || text == "off")
        return text == "on";
    return SettingProblem { SettingsFaultKind::BadChoice, "must be one of on, off" };
}

Parsed<PlatformKind> parsePlatformKind(std::string_view text)
{
    if (const auto kind = platformKindFromText(text))
        return *kind;
    return SettingProblem { SettingsFaultKind::BadChoice, "must be one of own, fleet" };
}

Parsed<HexKey> parseHexKey(std::string_view text)
{
    HexKey key { std::string(text) };
    for (char& c : key.digits) {
        if (c >= 'A' && c <= 'F')
            c = static_cast<char>(c - 'A' + 'a');
    }
    const bool isHex = key.digits.find_first_not_of(hexDigits) == std::string::npos;
    if (!isHex || key.digits.size() != hexKeyDigits)
        return SettingProblem { SettingsFaultKind::BadKey, "must be 64 hexadecimal digits" };
    return key;
}

Parsed<LogLevel> parseLogLevel(std::string_view text)
{
    if (const auto level = logLevelFromText(text))
        return *level;
    return SettingProblem { SettingsFaultKind::BadChoice, "must be one of trace, debug, info, warn, error, off" };
}

Parsed<std::string> parsePath(std::string_view text)
{
    const bool hasControl = std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < ' '; });
    if (text.empty() || text.size() > maximumPathLength || hasControl)
        return SettingProblem { SettingsFaultKind::WrongType, "must be the path of a file" };
    return std::string(text);
}

std::string durationText(std::chrono::microseconds duration)
{
    return amountText(static_cast<std::uint64_t>(duration.count()), durationUnits);
}

std::string sizeText(std::uint64_t bytes) { return amountText(bytes, sizeUnits); }

std::string decimalText(double number)
{
    std::array<char, 32> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
    return std::string(text.data(), end);
}

}
