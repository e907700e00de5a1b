#pragma once

#include "common/HttpSession.h"

#include <cstdint>
#include <string>

namespace carobpath::standins {

/// A download whose bytes follow from its path alone.
struct Report {
    std::string path;
    std::string version;
    std::uint64_t bytes = 0;
};

/// \returns the bytes of the report from an offset on.
std::string reportBytes(const std::string& path, std::uint64_t offset, std::size_t count);

/// \returns the strong ETag, quotes included.
std::string reportTag(const Report&);

/// Answers the session's request, its Range and If-Range included.
/// \param bytesPerSecond 0 is as fast as the connection takes it.
void sendReport(HttpSession&, const Report&, Response header, std::uint64_t bytesPerSecond);

}
