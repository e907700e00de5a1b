#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Log.h"
#include "carobpath/foundation/PlatformKind.h"
#include "carobpath/foundation/SettingsFault.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace carobpath {

/// Why a text is not a value of its type.
struct SettingProblem {
    SettingsFaultKind kind;
    std::string detail;
};

/// A value, or why there is none.
template <typename T>
using Parsed = std::variant<T, SettingProblem>;

/// Both ends are allowed.
template <typename T>
struct Bounds {
    T lowest;
    T highest;
};

/// A key as lower-case hexadecimal digits.
struct HexKey {
    std::string digits;

    bool empty() const { return digits.empty(); }
    friend bool operator==(const HexKey&, const HexKey&) = default;
};

/// Hexadecimal digits of a fleet key, an Ed25519 private key (seed) or public key.
inline constexpr std::size_t hexKeyDigits = 64;

inline constexpr std::size_t maximumNameLength = 63;

/// Whether the text is a name: 1 to 63 lower-case letters, digits and dashes, with a letter or digit at both ends.
bool isName(std::string_view text);

Parsed<std::string> parseName(std::string_view text);

/// "IP:PORT" with an IPv4 number or an IPv6 number in brackets; host names are refused.
Parsed<Endpoint> parseEndpoint(std::string_view text);

/// A number and one of the units us, ms, s, m, h, such as "250ms" or "2.5s".
Parsed<std::chrono::microseconds> parseDuration(std::string_view text, Bounds<std::chrono::microseconds>);

/// A whole number of bytes, or with one of the units KiB, MiB, such as "64KiB".
Parsed<std::uint64_t> parseSize(std::string_view text, Bounds<std::uint64_t>);

Parsed<std::int64_t> parseInteger(std::string_view text, Bounds<std::int64_t>);

/// A number, with a fraction or not.
Parsed<double> parseDecimal(std::string_view text, Bounds<double>);

/// Takes "on" and "off".
Parsed<bool> parseSwitch(std::string_view text);
Parsed<PlatformKind> parsePlatformKind(std::string_view text);

/// 64 hexadecimal digits.
Parsed<HexKey> parseHexKey(std::string_view text);

Parsed<LogLevel> parseLogLevel(std::string_view text);

/// Any text up to 4096 bytes without control characters, such as the path of a file.
Parsed<std::string> parsePath(std::string_view text);

/// \returns the shortest text of a whole number and a unit, such as "5s".
std::string durationText(std::chrono::microseconds);

/// \returns the shortest text that reads as the number.
std::string decimalText(double);

/// \returns the shortest text of a whole number and a unit, such as "64KiB".
std::string sizeText(std::uint64_t bytes);

}
