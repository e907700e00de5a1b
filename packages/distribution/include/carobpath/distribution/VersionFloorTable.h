#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace carobpath::distribution {

/// Stores the newest configuration version that each peer address was seen to hold. Entries outlive the peer process, so
/// that a process that restarts there without state can learn its version floor.
class VersionFloorTable {
public:
    /// Maximum number of addresses; the least recently updated one is evicted.
    static constexpr std::size_t s_capacity = 4096;

    void record(const Endpoint&, const publication::ConfigurationStamp&);
    std::optional<publication::ConfigurationStamp> floorOf(const Endpoint&) const;

private:
    struct Entry {
        Endpoint endpoint;
        publication::ConfigurationStamp stamp;
    };
    using Order = std::list<Entry>;

    /// Most recently updated first.
    Order m_order;
    std::unordered_map<Endpoint, Order::iterator> m_index;
};

}
