#pragma once

#include "carobpath/membership/MembershipUpdate.h"

#include <array>
#include <cstdint>

namespace carobpath::membership {

/// Hashes of a table's records in buckets by node name, so that two nodes can locate differences with few bytes.
class TableDigest {
public:
    static constexpr std::size_t s_buckets = 64;
    using Buckets = std::array<std::uint64_t, s_buckets>;

    /// Adds a record, or removes one that was added before: the operation is its own inverse.
    void toggle(const NodeRecord&);

    const Buckets& buckets() const { return m_buckets; }
    /// \returns a single hash of the complete table.
    std::uint64_t combined() const;

    /// \returns the hash of one record.
    static std::uint64_t hashOf(const NodeRecord&);
    /// \returns a bit mask of the buckets that differ.
    std::uint64_t differing(const Buckets& theirs) const;
    /// \returns the index of a node's bucket.
    static std::size_t bucketOf(const NodeName&);

private:
    Buckets m_buckets {};
};

}
