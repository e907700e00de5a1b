#pragma once

#include "carobpath/membership/MembershipUpdate.h"

#include <array>
#include <cstdint>

namespace carobpath::membership {

/// Hashes over the records of a table, in buckets by node name, so that two tables find what differs in few bytes.
class TableDigest {
public:
    static constexpr std::size_t s_buckets = 64;
    using Buckets = std::array<std::uint64_t, s_buckets>;

    /// Adds a record, or takes it out again: the operation is its own inverse.
    void toggle(const NodeRecord&);

    const Buckets& buckets() const { return m_buckets; }
    /// One hash over the whole table.
    std::uint64_t combined() const;

    /// \returns the hash of one record.
    static std::uint64_t hashOf(const NodeRecord&);
    /// \returns the buckets that differ, one bit each.
    std::uint64_t differing(const Buckets& theirs) const;
    /// \returns the bucket that holds a node.
    static std::size_t bucketOf(const NodeName&);

private:
    Buckets m_buckets {};
};

}
