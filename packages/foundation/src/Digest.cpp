#include "carobpath/foundation/Digest.h"

#include "carobpath/foundation/Hex.h"

#include <openssl/sha.h>

namespace carobpath {

Digest digestOf(std::string_view bytes)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.bytes.data());
    return digest;
}

std::string toHex(const Digest& digest) { return bytesToHex(digest.bytes); }

std::optional<Digest> digestFromHex(std::string_view text)
{
    const auto bytes = bytesFromHex<Digest::s_size>(text);
    if (!bytes)
        return std::nullopt;
    return Digest { *bytes };
}

}
