#pragma once

#include "carobpath/access/KeyTable.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace carobpath::routing {

/// Reason why no route matches a call.
enum class RouteLookupError : std::uint8_t {
    UnknownHost,
    UnknownRoute,
    MethodNotAllowed,
};

/// Finds the route of a call by host, then longest path prefix, then method. The table is immutable; one is created
/// for each configuration version, which it keeps alive.
class RouteTable {
public:
    using Match = const publication::Route*;
    using Lookup = std::variant<Match, RouteLookupError>;

    RouteTable() = default;
    explicit RouteTable(publication::ConfigurationPointer);

    /// Two routes may have the same prefix and different methods. If the routes with the longest matching prefix do
    /// not allow the method, the lookup fails: shorter prefixes are not tried, since they may belong to a different
    /// kind of work.
    /// \param path path of the request target, optionally followed by a query.
    Lookup find(std::string_view host, std::string_view method, std::string_view path) const;

    /// \returns the configuration; null before one was accepted.
    const publication::ConfigurationPointer& configuration() const { return m_configuration; }
    /// \returns the API keys of the configuration.
    const access::KeyTable& keys() const { return m_keys; }

private:
    struct PrefixGroup {
        std::string_view prefix;
        std::vector<Match> routes;
    };
    /// Groups of one host, ordered by descending prefix length.
    using PrefixGroups = std::vector<PrefixGroup>;

    void addRoute(std::string_view host, const publication::Route&);
    void sortGroups();

    publication::ConfigurationPointer m_configuration;
    access::KeyTable m_keys;
    std::unordered_map<std::string_view, PrefixGroups> m_hosts;
};

}
