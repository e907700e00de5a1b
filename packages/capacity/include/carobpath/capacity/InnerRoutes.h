#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"

#include <cstdint>
#include <unordered_map>

namespace carobpath::capacity {

/// Learns which routes are called by the local backend server while it runs a call. Such an inner call enters only while
/// one runs; the calls of other callers also enter while the backend server is idle.
class InnerRoutes {
public:
    /// A route is not an inner one if more than this part of its calls entered beside an idle backend server. A few may:
    /// the backend server finishes the call that it gave up.
    static constexpr double s_maxIdleShare = 0.05;
    /// Calls after which the counts of a route are halved, so that a route whose callers change is learnt anew.
    static constexpr std::uint32_t s_maxCounted = 1000;

    /// A call entered that may be one of the local backend server.
    /// \param running calls that run at the local backend server.
    /// \returns whether it is taken for one.
    bool onEntered(const RouteName&, std::uint32_t running);

private:
    struct Counts {
        std::uint32_t entered = 0;
        std::uint32_t besideIdle = 0;
    };

    std::unordered_map<RouteName, Counts> m_routes;
};

}
