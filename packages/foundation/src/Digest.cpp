#include "carobpath/foundation/Digest.h"

#include <openssl/sha.h>

namespace carobpath {

namespace {

    constexpr std::string_view hexDigits = "0123456789abcdef";

    std::optional<std::uint8_t> nibble(char c)
    {
        const auto n = hexDigits.find(c);
        if (n == std::string_view::npos)
            return std::nullopt;
        return static_cast<std::uint8_t>(n);
    }

}

Digest digestOf(std::string_view bytes)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.bytes.data());
    return digest;
}

std::string toHex(const Digest& digest)
{
    std::string text;
    text.reserve(2 * Digest::s_size);
    for (const auto byte : digest.bytes) {
        text += hexDigits[byte >> 4];
        text += hexDigits[byte & 0xf];
    }
    return text;
}

std::optional<Digest> digestFromHex(std::string_view text)
{
    if (text.size() != 2 * Digest::s_size)
        return std::nullopt;
    Digest digest;
    for (std::size_t i = 0; i < Digest::s_size; ++i) {
        const auto high = nibble(text[2 * i]);
        const auto low = nibble(text[2 * i + 1]);
        if (!high || !low)
            return std::nullopt;
        digest.bytes[i] = static_cast<std::uint8_t>(*high << 4 | *low);
    }
    return digest;
}

}
