#include "carobpath/membership/TableDigest.h"

#include "carobpath/foundation/RendezvousHash.h"

#include <string>

namespace carobpath::membership {

std::uint64_t TableDigest::hashOf(const NodeRecord& record)
{
    const auto& revision = record.entry.revision;
    std::string text = std::to_string(revision.incarnation.value);
    text += '.';
    text += std::to_string(revision.sequence);
    text += record.dead ? 'd' : 'a';
    return rendezvousScore(text, record.entry.name.value());
}

std::uint64_t TableDigest::differing(const Buckets& theirs) const
{
    std::uint64_t mask = 0;
    for (std::size_t i = 0; i < s_buckets; ++i) {
        if (m_buckets[i] != theirs[i])
            mask |= std::uint64_t { 1 } << i;
    }
    return mask;
}

void TableDigest::toggle(const NodeRecord& record)
{
    m_buckets[bucketOf(record.entry.name)] ^= hashOf(record);
}

std::uint64_t TableDigest::combined() const
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    std::uint64_t hash = 0;
    for (const auto it : m_buckets)
        hash = (hash ^ it) * multiplier;
    return hash;
}

std::size_t TableDigest::bucketOf(const NodeName& name)
{
    return rendezvousScore("bucket", name.value()) % s_buckets;
}

}
