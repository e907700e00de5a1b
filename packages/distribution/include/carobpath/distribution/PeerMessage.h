#pragma once

#include "carobpath/distribution/Delta.h"
#include "carobpath/membership/MembershipUpdate.h"
#include "carobpath/membership/TableDigest.h"
#include "carobpath/moves/Evidence.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace carobpath::distribution {

/// What one node tells another: in a request of the exchange, in its reply, and in a push.
struct PeerMessage {
    NodeName from;
    /// Where the sender listens for peers.
    Endpoint sender;
    /// What the sender holds; nothing before its first configuration.
    std::optional<publication::ConfigurationStamp> stamp;
    /// The highest stamp that the sender saw the receiver's address hold.
    std::optional<publication::ConfigurationStamp> versionFloor;
    /// True while the sender has not heard the membership of its peers yet.
    bool joining = false;
    /// Hash over the sender's membership.
    std::uint64_t membershipDigest = 0;
    /// Set to find out which buckets differ, and which of their records.
    std::optional<membership::TableDigest::Buckets> membershipBuckets;
    std::optional<membership::RecordSummary> membershipSummary;
    membership::MembershipUpdate membership;
    moves::EvidenceUpdate evidence;
    std::shared_ptr<const Delta> delta;
    /// Hybrid logical clock of the sender, set and read by the carrier.
    std::uint64_t hybridMilliseconds = 0;
    std::uint32_t hybridCounter = 0;
};

/// What a fetch of the whole state is to bring.
enum class FetchScope : std::uint8_t {
    /// Not the configuration, which the node reads elsewhere; it is by far the largest part.
    AllButConfiguration,
    All,
};

/// All that a node holds, for a node that starts or fell behind.
struct StateSnapshot {
    /// Null where the sender has none.
    publication::ConfigurationPointer configuration;
    std::vector<membership::NodeRecord> records;
    moves::EvidenceUpdate evidence;
};

/// \returns about the number of bytes that a delta takes in a message.
std::size_t encodedSize(const Delta&);
std::size_t encodedSize(const moves::EvidenceEntry&);

}
