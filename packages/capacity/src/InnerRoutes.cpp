#include "carobpath/capacity/InnerRoutes.h"

namespace carobpath::capacity {

bool InnerRoutes::onEntered(const RouteName& route, std::uint32_t running)
{
    auto& counts = m_routes[route];
    if (counts.entered >= s_maxCounted) {
        counts.entered /= 2;
        counts.besideIdle /= 2;
    }
    ++counts.entered;
    counts.besideIdle += running == 0 ? 1 : 0;
    return running > 0 && counts.besideIdle <= counts.entered * s_maxIdleShare;
}

}
