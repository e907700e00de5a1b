#include "carobpath/moves/Evidence.h"

namespace carobpath::moves {

namespace {

    std::uint64_t growth(std::uint64_t later, std::uint64_t earlier)
    {
        return later > earlier ? later - earlier : 0;
    }

}

EvidenceCounts& EvidenceCounts::operator+=(const EvidenceCounts& other)
{
    succeeded += other.succeeded;
    failed += other.failed;
    refused += other.refused;
    for (std::size_t i = 0; i < latencyClasses; ++i)
        latency[i] += other.latency[i];
    return *this;
}

EvidenceCounts EvidenceCounts::since(const EvidenceCounts& earlier) const
{
    EvidenceCounts it;
    it.succeeded = growth(succeeded, earlier.succeeded);
    it.failed = growth(failed, earlier.failed);
    it.refused = growth(refused, earlier.refused);
    for (std::size_t i = 0; i < latencyClasses; ++i)
        it.latency[i] = growth(latency[i], earlier.latency[i]);
    return it;
}

std::size_t latencyClassOf(std::chrono::nanoseconds latency)
{
    for (std::size_t i = 0; i + 1 < latencyClasses; ++i) {
        if (latency <= latencyClassBound(i))
            return i;
    }
    return latencyClasses - 1;
}

}
