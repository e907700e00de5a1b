#include "carobpath/moves/Evidence.h"

namespace carobpath::moves {

std::size_t latencyClassOf(std::chrono::nanoseconds latency)
{
    for (std::size_t i = 0; i + 1 < latencyClasses; ++i) {
        if (latency <= latencyClassBound(i))
            return i;
    }
    return latencyClasses - 1;
}

}
