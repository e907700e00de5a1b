#include "internal/SheddingPolicy.h"

#include "internal/BlockBody.h"

namespace carobpath::gateway::Detail {

namespace {

    bool isLarge(std::uint64_t bytes) { return bytes > BodyBytes::s_smallBytes; }

    /// \returns the place of the earliest of those that may be chosen.
    template <typename T, typename Time, typename MayBeChosen>
    std::optional<std::size_t> earliest(std::span<const T> all, Time timeOf, MayBeChosen mayBeChosen)
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (mayBeChosen(all[i]) && (!best || timeOf(all[i]) < timeOf(all[*best])))
                best = i;
        }
        return best;
    }

}

std::uint64_t SheddingPolicy::limitFor(std::uint64_t requestBytes) const
{
    return isLarge(requestBytes) ? m_heldBytes - m_heldBytes / s_smallRequestParts : m_heldBytes;
}

std::optional<std::size_t> SheddingPolicy::victim(std::span<const UnfinishedUse> all, std::uint64_t requestBytes, MonotonicTime now)
{
    const auto timeOf = [](const UnfinishedUse& it) { return it.progressAt; };
    if (const auto large = earliest(all, timeOf, [](const auto& it) { return isLarge(it.bytes); }))
        return large;
    const auto mayGoFirst = [&](const UnfinishedUse& it) { return !isLarge(requestBytes) || now - it.progressAt >= s_stall; };
    return earliest(all, timeOf, mayGoFirst);
}

std::optional<std::size_t> SheddingPolicy::connectionToClose(std::span<const ConnectionUse> all, MonotonicTime now)
{
    using Kind = ConnectionUse::Kind;
    const auto timeOf = [](const ConnectionUse& it) { return it.since; };
    const auto isFor = [now](Kind kind, auto time) { return [=](const ConnectionUse& it) { return it.kind == kind && now - it.since >= time; }; };
    if (const auto stalled = earliest(all, timeOf, isFor(Kind::Unfinished, s_stall)))
        return stalled;
    return earliest(all, timeOf, isFor(Kind::Idle, s_requestAllowance));
}

}
