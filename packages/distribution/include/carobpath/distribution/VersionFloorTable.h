#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace carobpath::distribution {

/// Remembers for each peer address the highest stamp that it was seen to hold, also after its process ended,
/// so that a process that comes back there empty can be told.
class VersionFloorTable {
public:
    /// Addresses remembered; beyond it the one not heard of for the longest is forgotten.
    static constexpr std::size_t s_capacity = 4096;

    void record(const Endpoint&, const publication::ConfigurationStamp&);
    std::optional<publication::ConfigurationStamp> floorOf(const Endpoint&) const;

private:
    struct Seen {
        Endpoint endpoint;
        publication::ConfigurationStamp stamp;
    };
    using Order = std::list<Seen>;

    /// The last heard of first.
    Order m_order;
    std::unordered_map<Endpoint, Order::iterator> m_index;
};

}
