#pragma once

#include "LoadMix.h"
#include "LoadReport.h"

#include "common/HttpSession.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace carobpath::standins {

/// One call as it is made.
struct LoadCall {
    std::uint64_t number = 0;
    LoadKind kind;
    std::chrono::steady_clock::time_point dueAt;
    std::chrono::milliseconds timeout { 0 };
    /// Sent as Idempotency-Key unless empty.
    std::string key;
};

/// \returns the call's target with its number as the parameter "call".
std::string targetOf(const LoadCall&);

/// A caller's connection that makes one call at a time.
class LoadConnection : public std::enable_shared_from_this<LoadConnection> {
public:
    /// \param isReusable whether the connection may make another call.
    using Callback = std::function<void(const LoadResult&, bool isReusable)>;

    LoadConnection(boost::asio::io_context&, tcp::endpoint);

    void make(LoadCall, Callback);

    const tcp::endpoint& endpoint() const { return m_endpoint; }

private:
    void write();
    void read();
    void finish(boost::system::error_code);
    LoadResult resultOf(const Response&) const;
    bool isOwnAnswer(const Response&) const;

    tcp::endpoint m_endpoint;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_isConnected = false;
    LoadCall m_call;
    Request m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Callback m_callback;
};

}
