#pragma once

#include "carobpath/client/ExitCode.h"
#include "carobpath/foundation/ClientSettings.h"

// File names may hold commas; a list option is given several times instead.
#define CXXOPTS_VECTOR_DELIMITER '\n'
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace carobpath::client::Detail {

/// What a command gets: its options, the settings and where it writes.
struct Context {
    const cxxopts::ParseResult& options;
    /// Positional arguments after the command's words.
    std::vector<std::string> operands;
    std::optional<ClientSettings> settings;
    bool isJson = false;
    std::ostream& out;
    std::ostream& err;

    /// Writes one JSON object, where JSON is asked for.
    void printJson(const nlohmann::json&) const;
    /// Writes one line for people, where text is asked for.
    void printText(const std::string&) const;
    /// Reports why the command failed: as JSON with "result" on the output, or as text on the error output.
    ExitCode fail(ExitCode, const std::string& result, const std::string& message) const;

    /// \returns the duration of an option such as --timeout; empty where it is not given.
    /// Throws a parse error of cxxopts for any other text.
    std::optional<std::chrono::milliseconds> duration(const std::string& option) const;
};

}
