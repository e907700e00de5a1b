#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/quota/DecayingRate.h"
#include "carobpath/quota/QuotaMessages.h"
#include "carobpath/quota/TokenBucket.h"

#include <chrono>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace carobpath::quota {

/// By how much the calls of a workspace may exceed its rate limit. In each window, at most
/// (rate * window + burst) * (1 + overage) + slack calls may run.
struct QuotaPolicy {
    std::chrono::milliseconds window { 5000 };
    double overage = 0.1;
    /// In calls.
    double slack = 20;
};

/// What the owner knows of one workspace, for operators.
struct QuotaState {
    WorkspaceName workspace;
    QuotaMode mode = QuotaMode::Open;
    double callsPerSecond = 0;
    double tokens = 0;
    /// Calls per second that arrive at all nodes.
    double demand = 0;
};

/// Keeps the token buckets of the workspaces whose quota this node owns. While a bucket is well filled, each node that reports
/// may admit a share of its tokens and is charged afterwards, so that few calls wait for a message. When the bucket runs low, its
/// tokens are granted to the nodes in proportion to the calls that arrive there.
///
/// Handles a workspace that sends many times its limit over any of the nodes, and demand that moves between nodes.
class QuotaOwner {
public:
    /// Averaging time of the demand.
    static constexpr std::chrono::milliseconds s_demandTime { 500 };
    /// Demand of this time is kept in reserve for calls that nodes admit before they learn that the bucket runs low.
    static constexpr std::chrono::milliseconds s_reserveTime { 150 };
    /// Time within which each node with calls reports; the tokens of this time are no surplus.
    static constexpr std::chrono::milliseconds s_roundTime { 100 };
    /// A surplus in the bucket of a metered workspace is granted within this time.
    static constexpr std::chrono::milliseconds s_surplusTime { 200 };
    /// Time after a report for which a node holds an allowance.
    static constexpr std::chrono::milliseconds s_allowanceTime { 500 };
    /// Another node may have owned a workspace that was not reported here for this time.
    static constexpr std::chrono::milliseconds s_idleTime { 1000 };
    static constexpr std::chrono::milliseconds s_minRetryAfter { 100 };
    static constexpr std::chrono::milliseconds s_maxRetryAfter { 2000 };

    QuotaOwner(QuotaPolicy, std::mt19937_64 random);

    void setConfiguration(const publication::ConfigurationSet&, MonotonicTime now);
    /// Lowers the limits to a part, while this node may be cut off from others that own the same quotas.
    void setPart(double part, MonotonicTime now);

    QuotaGrant onReport(const NodeName&, const UsageReport&, MonotonicTime now);

    /// \returns the state of each workspace that was reported here of late.
    std::vector<QuotaState> states(MonotonicTime now) const;

private:
    struct Account {
        TokenBucket bucket;
        DecayingRate demand { s_demandTime };
        QuotaMode mode = QuotaMode::Open;
        /// When each node reported last.
        std::unordered_map<NodeName, MonotonicTime> reporters;
        MonotonicTime reportedAt {};
        MonotonicTime openedAt {};
        /// When another owner told the level from which the bucket goes on; empty while the level is a guess.
        std::optional<MonotonicTime> levelToldAt;
        /// Tokens taken since the account was opened.
        double taken = 0;
    };

    double callsPerSecond(const publication::RateLimit&) const;
    double capacityOf(const publication::RateLimit&) const;
    /// \returns the tokens of a bucket if no node can tell how many are left.
    double guessedTokens(const publication::RateLimit&) const;
    Account& accountOf(const WorkspaceName&, const publication::RateLimit&, MonotonicTime now);
    void applyLimits(MonotonicTime now);
    /// Goes on from the newest level that an earlier owner told.
    void adoptLevel(Account&, const UsageReport&, MonotonicTime now) const;
    /// Forgets calls beyond the limit that no window counts any more.
    void boundOverdraft(Account&, const publication::RateLimit&, MonotonicTime now) const;
    static void take(Account&, double tokens, MonotonicTime now);
    static void updateMode(Account&, MonotonicTime now);
    static std::size_t activeNodes(Account&, const NodeName& reporter, MonotonicTime now);
    /// \returns the part of the arriving calls for which there are tokens.
    static double grantedPart(const Account&, MonotonicTime now);
    std::uint32_t grant(Account&, std::uint32_t arrived, MonotonicTime now);

    QuotaPolicy m_policy;
    std::mt19937_64 m_random;
    double m_part = 1;
    std::unordered_map<WorkspaceName, publication::RateLimit> m_limits;
    std::unordered_map<WorkspaceName, Account> m_accounts;
};

}
