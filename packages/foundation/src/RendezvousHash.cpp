#include "carobpath/foundation/RendezvousHash.h"

namespace carobpath {

namespace {

    constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
    constexpr std::uint64_t fnvPrime = 1099511628211ULL;

    std::uint64_t fnv(std::uint64_t hash, std::string_view text)
    {
        for (const unsigned char c : text) {
            hash ^= c;
            hash *= fnvPrime;
        }
        return hash;
    }

    // The finalizer of SplitMix64: FNV alone leaves the high bits of short keys alike.
    std::uint64_t mix(std::uint64_t x)
    {
        x ^= x >> 30;
        x *= 0xbf58476d1ce4e5b9ULL;
        x ^= x >> 27;
        x *= 0x94d049bb133111ebULL;
        return x ^ (x >> 31);
    }

}

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    RendezvousScorer hash(key);
    hash.append(node);
    return hash.score();
}

RendezvousScorer::RendezvousScorer(std::string_view key)
    : m_state(fnv(fnv(fnvOffset, key), "\x1f"))
{
}

void RendezvousScorer::append(std::string_view part) { m_state = fnv(m_state, part); }

std::uint64_t RendezvousScorer::score() const { return mix(m_state); }

}
