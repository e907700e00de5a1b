#pragma once

/// \file
/// The message types and header names that the sessions share.

#include "internal/BlockBody.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string_view>

namespace carobpath::gateway::Detail {

/// A request whose body is held whole, so that it can be sent to another node again. Copies share the body.
using Request = http::request<BlockBody>;
/// An answer that the node writes itself.
using Response = http::response<http::string_body>;
using ResponseHeader = http::response_header<>;

namespace HeaderName {
    inline constexpr std::string_view requestId = "Carobpath-Request-Id";
    inline constexpr std::string_view route = "Carobpath-Route";
    inline constexpr std::string_view service = "Carobpath-Service";
    inline constexpr std::string_view version = "Carobpath-Version";
    inline constexpr std::string_view deadline = "Carobpath-Deadline-Ms";
    inline constexpr std::string_view callerService = "Carobpath-Entry-Service";
    inline constexpr std::string_view workspace = "Carobpath-Caller-Workspace";
    inline constexpr std::string_view objective = "Carobpath-Objective-Ms";
    inline constexpr std::string_view priority = "Carobpath-Priority";
    inline constexpr std::string_view mayBeLate = "Carobpath-May-Be-Late";
    inline constexpr std::string_view innerCall = "Carobpath-Inner-Call";
    inline constexpr std::string_view innerCallDenied = "Carobpath-Inner-Call-Denied";
    inline constexpr std::string_view load = "Carobpath-Load";
    inline constexpr std::string_view rate = "Carobpath-Rate";
    inline constexpr std::string_view knownRate = "Carobpath-Known-Rate";
    inline constexpr std::string_view width = "Carobpath-Width";
    inline constexpr std::string_view fingerprint = "Carobpath-Fingerprint";
    inline constexpr std::string_view trafficClass = "Carobpath-Traffic-Class";
    inline constexpr std::string_view repeatability = "Carobpath-Repeatability";
    inline constexpr std::string_view hybridTime = "Carobpath-Hybrid-Time";
    inline constexpr std::string_view sentAt = "Carobpath-Sent-At";
    inline constexpr std::string_view outcome = "Carobpath-Outcome";
    inline constexpr std::string_view reason = "Carobpath-Reason";
    inline constexpr std::string_view retryAfterMs = "Carobpath-Retry-After-Ms";
    inline constexpr std::string_view prefix = "carobpath-";
}

/// Removes the header fields that speak of one connection only (RFC 9110, section 7.6.1).
template <typename Fields>
void removeHopByHopFields(Fields& fields)
{
    fields.erase(http::field::connection);
    fields.erase(http::field::keep_alive);
    fields.erase(http::field::proxy_connection);
    fields.erase(http::field::te);
    fields.erase(http::field::trailer);
    fields.erase(http::field::upgrade);
    fields.erase(http::field::expect);
}

}
