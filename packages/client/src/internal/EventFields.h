#pragma once

/// \file
/// Reads fields of one line of an event log. A field that is missing or of another type counts as not there.

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace carobpath::client::Detail {

std::optional<std::string> textIn(const nlohmann::json&, const char* key);
std::uint64_t numberIn(const nlohmann::json&, const char* key);
std::optional<std::chrono::duration<double, std::milli>> millisecondsIn(const nlohmann::json&, const char* key);

}
