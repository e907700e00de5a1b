#pragma once

/// \file
/// Types and helpers that the review's stand-ins share.

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <string_view>

namespace review {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline constexpr std::string_view attemptIdField = "Carobpath-Attempt-Id";
inline constexpr std::string_view signatureField = "Carobpath-Response-Signature";
inline constexpr std::string_view remainingField = "Carobpath-Deadline-Remaining-Ms";
inline constexpr std::string_view expectedInstanceField = "Carobpath-Expected-Instance";
inline constexpr std::string_view notExecutedField = "Carobpath-Not-Executed";
inline constexpr std::string_view leavingField = "Server-Leaving";

inline std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Writes one line with the wall time at its start, so that the lines of several processes can be merged.
inline void record(const std::string& text)
{
    std::printf("%lld %s\n", static_cast<long long>(wallMilliseconds()), text.c_str());
    std::fflush(stdout);
}

/// \returns the endpoint of "IP:PORT".
inline tcp::endpoint endpointOf(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument(text + " is no endpoint");
    const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return { boost::asio::ip::make_address(text.substr(0, colon)), port };
}

/// \returns the signature of a body: its FNV-1a hash and its length.
inline std::string signatureOf(std::string_view body)
{
    std::uint64_t hash = 14695981039346656037U;
    for (const unsigned char c : body)
        hash = (hash ^ c) * 1099511628211U;
    return std::to_string(hash) + "." + std::to_string(body.size());
}

}
