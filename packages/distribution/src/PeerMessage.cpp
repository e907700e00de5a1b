#include "carobpath/distribution/PeerMessage.h"

#include <algorithm>

namespace carobpath::distribution {

namespace {

    constexpr std::size_t entryFixedSize = 128;
    constexpr std::size_t evidenceFixedSize = 96;
    constexpr std::size_t wordSize = 8;

    std::size_t textSize(const std::string& text)
    {
        return (text.size() + wordSize) / wordSize * wordSize;
    }

    std::size_t sizeOf(const publication::ServiceEntry& it)
    {
        std::size_t size = entryFixedSize + textSize(it.service.name.value()) + textSize(it.service.member.value());
        for (const auto& host : it.service.hosts)
            size += wordSize + textSize(host);
        return size;
    }

    std::size_t sizeOf(const publication::RouteEntry& it)
    {
        std::size_t size = entryFixedSize + textSize(it.route.name.value()) + textSize(it.route.pathPrefix);
        for (const auto& method : it.route.methods)
            size += wordSize + textSize(method);
        return size;
    }

    std::size_t sizeOf(const publication::VersionEntry& it)
    {
        return entryFixedSize + textSize(it.version.name.value());
    }

    std::size_t sizeOf(const publication::MoveEntry& it)
    {
        std::size_t size = 2 * entryFixedSize + textSize(it.move.name.value());
        if (it.verdict)
            size += textSize(it.verdict->evidence);
        return size;
    }

    std::size_t sizeOf(const publication::WorkspaceEntry& it)
    {
        return entryFixedSize + textSize(it.workspace.name.value()) + it.workspace.keys.size() * 2 * Digest::s_size;
    }

    template <typename Name>
    std::size_t sizeOf(const Name& it)
    {
        return wordSize + textSize(it.value());
    }

    template <typename... Lists>
    std::size_t sizeOfAll(const Lists&... lists)
    {
        std::size_t size = 0;
        const auto add = [&size](const auto& list) {
            for (const auto& it : list)
                size += sizeOf(it);
        };
        (add(lists), ...);
        return size;
    }

}

std::size_t encodedSize(const Delta& it)
{
    return 2 * entryFixedSize + sizeOfAll(it.services, it.routes, it.versions, it.moves, it.workspaces)
        + sizeOfAll(it.removedServices, it.removedRoutes, it.removedVersions, it.removedMoves, it.removedWorkspaces);
}

std::size_t encodedSize(const moves::EvidenceEntry& it)
{
    const auto isUsed = [](std::uint64_t count) { return count != 0; };
    const auto first = std::find_if(it.counts.latency.begin(), it.counts.latency.end(), isUsed);
    const auto last = std::find_if(it.counts.latency.rbegin(), it.counts.latency.rend(), isUsed).base();
    const auto classes = static_cast<std::size_t>(first == it.counts.latency.end() ? 0 : last - first);
    return evidenceFixedSize + classes * wordSize + textSize(it.observer.value())
        + textSize(it.move.value()) + textSize(it.route.value()) + textSize(it.version.value());
}

}
