#pragma once

/// \file
/// Messages between the nodes where calls enter and the node that owns the quota of their workspace.

#include "carobpath/foundation/Identifier.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carobpath::quota {

/// Tokens that a bucket held at some moment. Nodes remember what the owner told them, so that another owner can go on from there.
struct BucketLevel {
    /// Negative if the bucket was overdrawn.
    std::int32_t tokens = 0;
    std::chrono::milliseconds age {};

    friend bool operator==(const BucketLevel&, const BucketLevel&) = default;
};

/// What a node reports of one workspace since its last report.
struct UsageReport {
    WorkspaceName workspace;
    /// Calls that arrived, whether they were admitted, refused or wait for the answer.
    std::uint32_t arrived = 0;
    /// Calls that were admitted without a granted token, less tokens that are given back. Negative if more are given back.
    std::int32_t charge = 0;
    /// Empty if the node has not heard of the bucket for a while.
    std::optional<BucketLevel> level;

    friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// The reports of one node to one owner.
struct UsageMessage {
    NodeName node;
    std::vector<UsageReport> reports;
    /// Whether the deputy relays it for the node.
    bool isRelayed = false;
};

/// How the nodes admit the calls of a workspace.
enum class QuotaMode : std::uint8_t {
    /// Calls are charged after they were admitted. For a workspace well below its limit.
    Open,
    /// Calls are admitted with tokens that the owner has taken from the bucket before. For a workspace at its limit.
    Metered,
};

/// \returns the text that stands in logs: "open", "metered".
constexpr std::string_view toString(QuotaMode mode) { return mode == QuotaMode::Open ? "open" : "metered"; }

/// The owner's answer to the report of one workspace.
struct QuotaGrant {
    WorkspaceName workspace;
    QuotaMode mode = QuotaMode::Open;
    /// Calls that the node may admit; replaces an earlier allowance of \c QuotaMode::Open, less the calls admitted since the report, and adds to one of
    /// \c QuotaMode::Metered.
    std::uint32_t calls = 0;
    /// Time after which a refused caller may expect a token.
    std::chrono::milliseconds retryAfter {};
    /// Tokens in the bucket.
    std::int32_t tokens = 0;

    friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

using QuotaGrants = std::vector<QuotaGrant>;

}
