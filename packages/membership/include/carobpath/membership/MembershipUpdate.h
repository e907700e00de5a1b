#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <vector>

namespace carobpath::membership {

/// A node's entry as it spreads. At equal revisions, dead overrides alive; only a newer revision refutes it.
struct NodeRecord {
    NodeEntry entry;
    bool dead = false;

    friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// One observer's finding that it cannot reach a node. Void once the subject has made a newer revision.
struct Suspicion {
    NodeName subject;
    Revision revision;
    NodeName observer;

    friend auto operator<=>(const Suspicion&, const Suspicion&) = default;
};

/// Membership in one message of the exchange.
struct MembershipUpdate {
    std::vector<NodeRecord> records;
    std::vector<Suspicion> suspicions;

    bool empty() const { return records.empty() && suspicions.empty(); }
};

/// The hashes of all records in some buckets of a table, so that the receiver sends just the records that lack there.
struct RecordSummary {
    /// The buckets, one bit each.
    std::uint64_t buckets = 0;
    std::vector<std::uint64_t> hashes;
    /// Whether the receiver shall send its own summary of the same buckets.
    bool answerWanted = false;

    friend bool operator==(const RecordSummary&, const RecordSummary&) = default;
};

/// \returns about the number of bytes that a record takes in a message.
std::size_t encodedSize(const NodeRecord&);
std::size_t encodedSize(const Suspicion&);

}
