#pragma once

/// \file
/// Bytes as lower-case hexadecimal digits, the form of digests, keys and signatures in texts.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath {

inline constexpr std::string_view hexDigits = "0123456789abcdef";

/// \returns two lower-case hexadecimal digits for each byte.
template <std::size_t size>
std::string bytesToHex(const std::array<std::uint8_t, size>& bytes)
{
    std::string text;
    text.reserve(2 * size);
    for (const auto byte : bytes) {
        text += hexDigits[byte >> 4];
        text += hexDigits[byte & 0xf];
    }
    return text;
}

/// \returns the bytes; empty unless the text is exactly 2 * size lower-case hexadecimal digits.
template <std::size_t size>
std::optional<std::array<std::uint8_t, size>> bytesFromHex(std::string_view text)
{
    if (text.size() != 2 * size)
        return std::nullopt;
    std::array<std::uint8_t, size> bytes {};
    for (std::size_t i = 0; i < size; ++i) {
        const auto high = hexDigits.find(text[2 * i]);
        const auto low = hexDigits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        bytes[i] = static_cast<std::uint8_t>(high << 4 | low);
    }
    return bytes;
}

}
