#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include "carobpath/foundation/Endpoint.h"

#include <cstddef>
#include <optional>

namespace carobpath::gateway::Detail {

/// Sets no-delay, keep-alive probes and the TCP user timeout, so that the system gives up on a connection whose
/// other end no longer answers.
void setConnectionOptions(boost::asio::ip::tcp::socket&);

/// \returns true where the other end sends no more, or the socket is broken, be it that bytes wait before its end.
/// Reads nothing.
bool hasPeerShutDown(boost::asio::ip::tcp::socket&);

/// \returns the bytes written that the other end has not acknowledged; 0 where the system does not tell.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket&);

/// \returns true where the connection is open and no bytes wait on it. Reads nothing.
bool isOpenAndQuiet(boost::asio::ip::tcp::socket&);

/// \returns the address; empty where the text is no IP number.
std::optional<boost::asio::ip::tcp::endpoint> toTcp(const Endpoint&);

Endpoint fromTcp(const boost::asio::ip::tcp::endpoint&);

}
