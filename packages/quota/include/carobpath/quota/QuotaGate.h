#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/quota/DecayingRate.h"
#include "carobpath/quota/QuotaMessages.h"
#include "carobpath/quota/QuotaVerdict.h"
#include "carobpath/quota/TokenBucket.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobpath::quota {

/// Number of a call, chosen by the caller of the gate.
using QuotaTicket = std::uint64_t;

/// The verdict on a call that waited for it.
struct DecidedCall {
    QuotaTicket ticket = 0;
    QuotaVerdict verdict;
};

/// Decides at an entry node which calls of limited workspaces are admitted, and reports them to the owners of the quotas. A call
/// is decided at once if the node holds an allowance, or has heard of late that there is none; else it waits for the owner.
///
/// While the owner does not respond, calls are admitted at the rate at which it admitted them before, at half of it if the workspace was
/// metered, and at once up to the node's share of the tokens that it heard of last.
class QuotaGate {
public:
    /// What a decision on a call of a workspace rests on.
    struct Basis {
        QuotaMode mode = QuotaMode::Open;
        /// Time since the owner's last answer; empty before the first.
        std::optional<std::chrono::nanoseconds> answerAge;
        bool isOwnerReachable = true;
    };

    /// Time between two reports of a workspace, unless calls wait.
    static constexpr std::chrono::milliseconds s_reportInterval { 50 };
    /// Calls of a metered workspace without tokens are refused for this time after an answer of the owner.
    static constexpr std::chrono::milliseconds s_refusingTime { 100 };
    /// Time for which an allowance holds.
    static constexpr std::chrono::milliseconds s_allowanceTime { 500 };
    /// Time without an answer after which the owner counts as unreachable.
    static constexpr std::chrono::milliseconds s_ownerTimeout { 150 };
    /// Averaging time of the rate at which calls were admitted.
    static constexpr std::chrono::milliseconds s_admittedTime { 2000 };
    /// Time for which the level of a bucket counts that the owner told.
    static constexpr std::chrono::milliseconds s_levelTime { 5000 };

    /// \param count nodes at which calls enter; each may use its share of a bucket whose owner is unreachable.
    void setNodes(std::size_t count) { m_nodes = count; }

    /// Forgets workspaces that are no longer limited; calls of theirs that wait are admitted.
    void setConfiguration(const publication::ConfigurationSet&);

    /// \returns the verdict; empty if the call waits for it, see \c takeDecided.
    std::optional<QuotaVerdict> take(const WorkspaceName&, QuotaTicket, MonotonicTime now);
    /// A call that was admitted has not run.
    void giveBack(const WorkspaceName&, MonotonicTime now);

    /// \returns nothing for a workspace without calls.
    std::optional<Basis> basisOf(const WorkspaceName&, MonotonicTime now) const;

    /// \returns the reports that are due. Each is to be answered by \c onGrant or \c onReportFailed.
    std::vector<UsageReport> takeReports(MonotonicTime now);
    void onGrant(const QuotaGrant&, MonotonicTime now);
    /// The report may have reached the owner or not; what it says is reported again.
    void onReportFailed(const UsageReport&, MonotonicTime now);

    /// \returns the calls that wait no longer.
    std::vector<DecidedCall> takeDecided(MonotonicTime now);

private:
    struct Account {
        QuotaMode mode = QuotaMode::Open;
        /// Calls that may be admitted until \c allowedUntil.
        std::uint32_t allowed = 0;
        MonotonicTime allowedUntil {};
        std::chrono::milliseconds retryAfter {};
        /// Calls that wait for the owner.
        std::deque<QuotaTicket> waiting;
        /// What the next report says.
        std::uint32_t arrived = 0;
        std::int32_t charge = 0;
        std::int32_t tokensTold = 0;
        std::optional<MonotonicTime> answeredAt;
        bool isReporting = false;
        MonotonicTime reportedAt {};
        /// When the first report was sent that the owner has not answered.
        std::optional<MonotonicTime> unansweredSince;
        DecayingRate admitted { s_admittedTime };
        /// Bounds the calls while the owner is unreachable. Kept when the owner answers, so that an owner which is slow again and
        /// again does not let a burst pass each time.
        std::optional<TokenBucket> fallback;
        bool usesFallback = false;
    };

    static bool isOwnerUnreachable(const Account&, MonotonicTime now);
    QuotaVerdict decideWithoutOwner(Account&, MonotonicTime now) const;
    void startFallback(Account&, MonotonicTime now) const;
    /// \returns this node's share of the tokens that the owner told of last; 0 if that was long ago or the bucket ran low.
    double shareOfLevel(const Account&, MonotonicTime now) const;
    /// \returns whether the allowance admits one more call.
    static bool admit(Account&, MonotonicTime now);
    /// \returns the calls that an open grant still allows: the owner did not know of those admitted since the report.
    static std::uint32_t allowanceOf(const QuotaGrant&, const Account&);
    static void returnExpired(Account&, MonotonicTime now);
    static bool isReportDue(const Account&, MonotonicTime now);
    static UsageReport reportOf(const WorkspaceName&, Account&, MonotonicTime now);

    std::size_t m_nodes = 1;
    std::unordered_map<WorkspaceName, Account> m_accounts;
    std::vector<DecidedCall> m_decided;
};

}
