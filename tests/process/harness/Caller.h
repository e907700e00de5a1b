#pragma once

#include <chrono>
#include <map>
#include <string>

namespace carobpath::harness {

/// What a caller sends.
struct CallerRequest {
    std::string method = "GET";
    std::string host;
    std::string target = "/";
    std::string body;
    std::map<std::string, std::string> headers;
    std::chrono::milliseconds timeout { 30'000 };
};

/// What a caller gets.
struct CallerAnswer {
    /// 0 where no whole answer came.
    unsigned status = 0;
    std::string body;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    /// Why no whole answer came.
    std::string error;

    std::string header(const std::string& lowerCaseName) const;
    std::string outcome() const { return header("carobpath-outcome"); }
    std::string reason() const { return header("carobpath-reason"); }
};

/// Makes one call on a connection of its own and waits for its end.
CallerAnswer call(const std::string& endpoint, const CallerRequest&);

/// Writes raw bytes on a fresh connection, and \returns what comes until the other side closes or the time is over.
/// \param halfClose whether the sending side is closed after the bytes.
std::string exchangeBytes(const std::string& endpoint, const std::string& bytes, std::chrono::milliseconds timeout, bool halfClose = false);

}
