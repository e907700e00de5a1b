#pragma once

#include "carobpath/distribution/Delta.h"
#include "carobpath/distribution/StreamEnds.h"
#include "carobpath/membership/AnswerTime.h"
#include "carobpath/membership/MembershipUpdate.h"
#include "carobpath/membership/TableDigest.h"
#include "carobpath/moves/Evidence.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace carobpath::distribution {

/// A message between two nodes: a gossip request, its reply, or a push.
struct PeerMessage {
    NodeName from;
    /// Address at which the sender listens for peers.
    Endpoint sender;
    /// Current configuration version of the sender; empty before its first one.
    std::optional<publication::ConfigurationStamp> stamp;
    /// The newest configuration version that the sender saw at the receiver's address.
    std::optional<publication::ConfigurationStamp> versionFloor;
    /// True until the sender has received the membership of its peers.
    bool joining = false;
    /// Hash of the sender's membership table.
    std::uint64_t membershipDigest = 0;
    /// Digest buckets and record hashes that show which records differ.
    std::optional<membership::TableDigest::Buckets> membershipBuckets;
    std::optional<membership::RecordSummary> membershipSummary;
    membership::MembershipUpdate membership;
    moves::EvidenceUpdate evidence;
    std::shared_ptr<const Delta> delta;
    /// How far the sender knows streams of the log to reach. The receiver pushes on what is new to it.
    std::vector<StreamEnd> streamEnds;
    /// In the sender's failure domain. Written and read by the transport, like the clock.
    std::vector<membership::AnswerTime> answerTimes;
    /// Hybrid logical clock of the sender, written and read by the transport.
    std::uint64_t hybridMilliseconds = 0;
    std::uint32_t hybridCounter = 0;
};

/// Parts of the state that a snapshot contains.
enum class FetchScope : std::uint8_t {
    /// Excludes the configuration, which the node reads from another source. It is by far the largest part.
    AllButConfiguration,
    All,
};

/// The full state of a node, for a node that starts or fell behind.
struct StateSnapshot {
    /// Null if the sender has none or if it was not requested.
    publication::ConfigurationPointer configuration;
    std::vector<membership::NodeRecord> records;
    moves::EvidenceUpdate evidence;
};

/// \returns the approximate encoded size of a delta in bytes.
std::size_t encodedSize(const Delta&);
std::size_t encodedSize(const moves::EvidenceEntry&);

}
