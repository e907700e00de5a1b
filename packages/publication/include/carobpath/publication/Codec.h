#pragma once

/// \file
/// The canonical encoding: JSON with sorted keys, without white space and without floating-point numbers. Equal values have
/// equal encodings on every node, so digests and signatures are computed over the encoding.

#include "carobpath/foundation/Result.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::publication {

/// Reason why a text could not be decoded.
enum class CodecFault : std::uint8_t {
    NotJson,
    /// A key is missing, or a value has the wrong type or is out of range.
    WrongShape,
    /// The text is not the canonical encoding of its value: it has unknown or repeated keys, another key order or white space.
    NotCanonical,
    TooLarge,
};

/// Error that is reported when decoding fails.
struct CodecError {
    CodecFault fault = CodecFault::NotJson;
};

std::string_view toString(CodecFault);

template <typename T>
concept Encodable = std::same_as<T, Service> || std::same_as<T, Route> || std::same_as<T, Version> || std::same_as<T, Move> || std::same_as<T, MoveVerdict> || std::same_as<T, ServiceEntry> || std::same_as<T, RouteEntry> || std::same_as<T, VersionEntry> || std::same_as<T, MoveEntry> || std::same_as<T, WorkspaceEntry> || std::same_as<T, ConfigurationStamp> || std::same_as<T, ConfigurationSet>;

/// \returns the canonical encoding.
template <Encodable T>
std::string encode(const T&);

/// Reads a canonical encoding of at most \c bounds::checkpointBytes.
/// \returns CodecError for any other text.
template <Encodable T>
Result<T> decode(std::string_view text);

/// \returns the digest of the set's canonical encoding.
Digest digestOfSet(const ConfigurationSet&);

/// \returns the digest of \c digestOfSet, with the set's routes encoded beforehand.
/// \param encodedRoutes the canonical encoding of each route's entry, in the order of the set.
Digest digestWithEncodedRoutes(const ConfigurationSet&, const std::vector<std::string_view>& encodedRoutes);

}
