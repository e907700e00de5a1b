#pragma once

/// \file
/// What crowds of callers send to the route of the booking service.

#include "Crowd.h"

namespace carobpath::harness::crowds {

inline constexpr std::size_t kibibyte = 1024;
inline constexpr std::size_t mebibyte = 1024 * kibibyte;
/// One caller of this many sends its request to the end.
inline constexpr std::size_t wholeEvery = 10;

/// \returns the head of a request with a body.
/// \param framing header field that frames the body.
std::string post(const std::string& framing);

/// A body of a stated length; all but one caller of ten stop one byte short of it.
CrowdScript stated(std::size_t caller, std::size_t bodyBytes, std::size_t pieceBytes);

/// A chunked body; all but one caller of ten stop one byte short of its end.
/// \param sizeLine size of a chunk as it is written.
CrowdScript chunked(std::size_t caller, const std::string& sizeLine, std::size_t chunkBytes, std::size_t bodyBytes);

}
