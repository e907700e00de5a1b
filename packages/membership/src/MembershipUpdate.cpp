#include "carobpath/membership/MembershipUpdate.h"

namespace carobpath::membership {

namespace {

    constexpr std::size_t wordSize = 8;
    constexpr std::size_t recordFixedSize = 128;
    constexpr std::size_t upstreamFixedSize = 56;
    constexpr std::size_t suspicionFixedSize = 48;

    std::size_t textSize(const std::string& text)
    {
        return (text.size() + wordSize) / wordSize * wordSize;
    }

}

std::size_t encodedSize(const NodeRecord& it)
{
    std::size_t size = recordFixedSize + textSize(it.entry.name.value()) + textSize(it.entry.region.value())
        + textSize(it.entry.domain.value()) + textSize(it.entry.addresses.peer.address);
    if (it.entry.upstream) {
        size += upstreamFixedSize + textSize(it.entry.upstream->service.value())
            + textSize(it.entry.upstream->version.value());
    }
    return size;
}

std::size_t encodedSize(const Suspicion& it)
{
    return suspicionFixedSize + textSize(it.subject.value()) + textSize(it.observer.value());
}

}
