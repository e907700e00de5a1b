#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath {

/// SHA-256 of a canonical encoding.
struct Digest {
    static constexpr std::size_t s_size = 32;
    std::array<std::uint8_t, s_size> bytes {};

    friend auto operator<=>(const Digest&, const Digest&) = default;
};

/// \returns the digest of the bytes given.
Digest digestOf(std::string_view bytes);

/// \returns 64 lower-case hexadecimal digits.
std::string toHex(const Digest&);

/// \returns the digest; empty unless the text is 64 lower-case hexadecimal digits.
std::optional<Digest> digestFromHex(std::string_view text);

}
