#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carobpath::client::Detail {

struct AdminAnswer {
    unsigned status = 0;
    nlohmann::json body;
};

enum class AdminFailure : std::uint8_t {
    Unreachable,
    TimedOut,
    /// The answer is no JSON.
    Malformed,
};

using AdminResult = std::variant<AdminAnswer, AdminFailure>;

std::string_view toString(AdminFailure);

/// Asks a node's admin address, and waits for the answer.
AdminResult adminGet(const Endpoint&, const std::string& target, std::chrono::milliseconds timeout);

/// \returns the answer of the first node that gives one with the status 200 or 404; empty if none does.
std::optional<AdminAnswer> firstAnswer(const std::vector<Endpoint>& nodes, const std::string& target, std::chrono::milliseconds timeout);

/// \returns the offset of the configuration in the body of /v1/status; empty where the node has none.
std::optional<publication::Offset> configurationOffset(const nlohmann::json& status);

}
