#pragma once

/// \file
/// The header fields between the entry node and the admitting node, see docs/INTERFACES.md.

#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/Dialect.h"
#include "carobpath/routing/Admission.h"
#include "carobpath/routing/BackendReport.h"
#include "carobpath/routing/Call.h"
#include "carobpath/routing/TransitDelay.h"
#include "internal/HttpTypes.h"

#include <chrono>
#include <optional>
#include <string>

namespace carobpath::gateway::Detail {

/// The clocks of the node that forwards a request.
struct ForwardingStamp {
    routing::SendStamp sent;
    /// Reading of the hybrid clock; may be empty.
    std::string hybridTime;
};

/// \returns the caller's request as it is sent to the admitting node: connection fields and fields of the caller's
/// that carobpath itself uses are gone, those of the attempt are added.
std::shared_ptr<const Request> forwardedRequest(const Request&, const routing::CallRequest&, const routing::SendAttempt&, MonotonicTime now, const ForwardingStamp&);

/// \returns what the admitting node needs of a forwarded request; empty where a field lacks or makes no sense.
std::optional<routing::AdmissionRequest> admissionRequest(const Request&, MonotonicTime now);

/// \returns when the other node sent the request, by its own clock; empty where it doesn't say.
std::optional<routing::SendStamp> sendStampOf(const Request&);

/// \returns the request as the backend server gets it: without the fields that only nodes read.
/// \param instance the run of the backend server that the request is meant for; empty where it has no name.
std::shared_ptr<const Request> backendRequest(const Request&, const routing::AdmissionRequest&, const Dialect&, const std::string& instance, MonotonicTime now);

/// \returns the milliseconds in a header field; empty where it is absent or no number.
std::optional<std::chrono::milliseconds> milliseconds(const http::fields&, std::string_view name);

/// \returns the delay after which a backend server wants a refused call again: the project's own field, else Retry-After in
/// seconds, which may have a fraction; empty where neither is readable.
std::optional<std::chrono::milliseconds> retryAfterOf(const ResponseHeader&);

/// \returns the outcome that the header of an answer carries.
std::optional<routing::Outcome> outcomeOf(const ResponseHeader&);
std::optional<routing::RefusalReason> reasonOf(const ResponseHeader&);

/// \returns what the backend server says about itself in the header of its answer.
routing::BackendReport backendReportOf(const ResponseHeader&, const Dialect&);

/// Sets the fields of an answer that tell the load.
void setLoad(ResponseHeader&, const routing::UpstreamLoad&);
std::optional<routing::UpstreamLoad> loadOf(const ResponseHeader&);

/// \returns the reading of the other node's hybrid clock; empty where there is none.
std::string_view hybridTimeOf(const http::fields&);

/// Hash of what makes two requests the same: method, host, target and body.
std::uint64_t fingerprintOf(const Request&);

}
