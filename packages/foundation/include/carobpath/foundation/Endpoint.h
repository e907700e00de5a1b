#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace carobpath {

/// Where a process listens: an IP number and a TCP port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// \returns "address:port", with brackets around an IPv6 number.
std::string toString(const Endpoint&);

}

template <>
struct std::hash<carobpath::Endpoint> {
    std::size_t operator()(const carobpath::Endpoint& it) const noexcept
    {
        return std::hash<std::string> {}(it.address) * 31 + it.port;
    }
};
