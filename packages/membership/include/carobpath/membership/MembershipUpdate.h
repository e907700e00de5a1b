#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <vector>

namespace carobpath::membership {

/// A node's entry as sent to peers. At equal revisions, dead overrides alive; only a newer revision refutes it.
struct NodeRecord {
    NodeEntry entry;
    bool dead = false;

    friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// An observer's report that it cannot reach a node. Invalid once the subject has created a newer revision.
struct Suspicion {
    NodeName subject;
    Revision revision;
    NodeName observer;

    friend auto operator<=>(const Suspicion&, const Suspicion&) = default;
};

/// The membership part of a gossip message.
struct MembershipUpdate {
    std::vector<NodeRecord> records;
    std::vector<Suspicion> suspicions;

    bool empty() const { return records.empty() && suspicions.empty(); }
};

/// Hashes of all records in some buckets of a table, so that the receiver sends only the records missing there.
struct RecordSummary {
    /// Bit mask of the buckets.
    std::uint64_t buckets = 0;
    std::vector<std::uint64_t> hashes;
    /// Whether the receiver should reply with its own summary of the same buckets.
    bool answerWanted = false;

    friend bool operator==(const RecordSummary&, const RecordSummary&) = default;
};

/// \returns the approximate encoded size in bytes.
std::size_t encodedSize(const NodeRecord&);
std::size_t encodedSize(const Suspicion&);

}
