#pragma once

#include "carobpath/publication/ConfigurationSet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace carobpath::routing {

/// Why no route takes a call.
enum class RouteLookupError : std::uint8_t {
    UnknownHost,
    UnknownRoute,
    MethodNotAllowed,
};

/// Finds the route of a call: host, then longest path prefix, then method. Immutable; made once for each
/// configuration version, which it keeps alive.
class RouteTable {
public:
    using Match = const publication::Route*;
    using Lookup = std::variant<Match, RouteLookupError>;

    RouteTable() = default;
    explicit RouteTable(publication::ConfigurationPointer);

    /// Two routes may share a prefix and differ in their methods. A method that the longest prefix does not take is
    /// a miss: a shorter prefix is not tried, since it may belong to work of another kind.
    /// \param path path of the request target; a query may follow it.
    Lookup find(std::string_view host, std::string_view method, std::string_view path) const;

    /// \returns nothing before a configuration was accepted.
    const publication::ConfigurationPointer& configuration() const { return m_configuration; }

private:
    struct PrefixGroup {
        std::string_view prefix;
        std::vector<Match> routes;
    };
    /// Groups of one host, longest prefix first.
    using PrefixGroups = std::vector<PrefixGroup>;

    void addRoute(std::string_view host, const publication::Route&);
    void sortGroups();

    publication::ConfigurationPointer m_configuration;
    std::unordered_map<std::string_view, PrefixGroups> m_hosts;
};

}
