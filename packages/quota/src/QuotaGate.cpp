#include "carobpath/quota/QuotaGate.h"

#include <algorithm>
#include <utility>

namespace carobpath::quota {

namespace {

    using std::chrono::milliseconds;

    /// Part of the earlier rate at which calls of a metered workspace are admitted while its owner is unreachable. The owner
    /// may have granted the rest to other nodes.
    constexpr double meteredFallbackPart = 0.5;
    /// Calls of this time that may come at once while the owner is unreachable.
    constexpr std::chrono::duration<double> fallbackBurstTime { 1 };
    constexpr milliseconds fallbackRetryAfter { 500 };

}

void QuotaGate::setConfiguration(const publication::ConfigurationSet& set)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const auto found = set.workspaces.find(it->first);
        if (found != set.workspaces.end() && found->second.workspace.limit) {
            ++it;
            continue;
        }
        for (const auto ticket : it->second.waiting)
            m_decided.push_back({ ticket, QuotaVerdict { true, {} } });
        it = m_accounts.erase(it);
    }
}

std::optional<QuotaVerdict> QuotaGate::take(const WorkspaceName& workspace, QuotaTicket ticket, MonotonicTime now)
{
    auto& account = m_accounts[workspace];
    ++account.arrived;
    if (isOwnerUnreachable(account, now))
        return decideWithoutOwner(account, now);
    if (account.waiting.empty() && admit(account, now))
        return QuotaVerdict { true, {} };
    const bool refuses = account.mode == QuotaMode::Metered && account.answeredAt && now - *account.answeredAt < s_refusingTime;
    if (refuses)
        return QuotaVerdict { false, account.retryAfter };
    account.waiting.push_back(ticket);
    return std::nullopt;
}

bool QuotaGate::admit(Account& account, MonotonicTime now)
{
    returnExpired(account, now);
    if (account.allowed == 0)
        return false;
    --account.allowed;
    account.charge += account.mode == QuotaMode::Open ? 1 : 0;
    account.admitted.add(1, now);
    return true;
}

void QuotaGate::returnExpired(Account& account, MonotonicTime now)
{
    if (now < account.allowedUntil)
        return;
    const auto expired = static_cast<std::int32_t>(std::exchange(account.allowed, 0));
    account.charge -= account.mode == QuotaMode::Metered ? expired : 0;
}

bool QuotaGate::isOwnerUnreachable(const Account& account, MonotonicTime now)
{
    return account.unansweredSince && now - *account.unansweredSince >= s_ownerTimeout;
}

QuotaVerdict QuotaGate::decideWithoutOwner(Account& account, MonotonicTime now) const
{
    if (!std::exchange(account.usesFallback, true))
        startFallback(account, now);
    if (!account.fallback->tryTake(now))
        return QuotaVerdict { false, fallbackRetryAfter };
    ++account.charge;
    return QuotaVerdict { true, {} };
}

double QuotaGate::shareOfLevel(const Account& account, MonotonicTime now) const
{
    const bool isKnown = account.mode == QuotaMode::Open && account.answeredAt && now - *account.answeredAt < s_levelTime;
    return isKnown ? std::max(0, account.tokensTold) / static_cast<double>(std::max<std::size_t>(m_nodes, 1)) : 0;
}

void QuotaGate::startFallback(Account& account, MonotonicTime now) const
{
    const double part = account.mode == QuotaMode::Metered ? meteredFallbackPart : 1;
    const double rate = part * account.admitted.perSecond(now);
    const double burst = std::max(rate * fallbackBurstTime.count(), shareOfLevel(account, now));
    const double capacity = std::max(1.0, burst);
    if (account.fallback)
        account.fallback->setRate(rate, capacity, now);
    else
        account.fallback.emplace(rate, capacity, burst, now);
}

void QuotaGate::giveBack(const WorkspaceName& workspace, MonotonicTime)
{
    const auto it = m_accounts.find(workspace);
    if (it != m_accounts.end())
        --it->second.charge;
}

std::optional<QuotaGate::Basis> QuotaGate::basisOf(const WorkspaceName& workspace, MonotonicTime now) const
{
    const auto it = m_accounts.find(workspace);
    if (it == m_accounts.end())
        return std::nullopt;
    const auto& account = it->second;
    Basis basis { account.mode, std::nullopt, !isOwnerUnreachable(account, now) };
    if (account.answeredAt)
        basis.answerAge = now - *account.answeredAt;
    return basis;
}

bool QuotaGate::isReportDue(const Account& account, MonotonicTime now)
{
    if (account.isReporting)
        return false;
    if (!account.waiting.empty())
        return true;
    const bool hasNews = account.arrived > 0 || account.charge != 0;
    return hasNews && now - account.reportedAt >= s_reportInterval;
}

UsageReport QuotaGate::reportOf(const WorkspaceName& workspace, Account& account, MonotonicTime now)
{
    UsageReport it { workspace, std::exchange(account.arrived, 0), std::exchange(account.charge, 0), std::nullopt };
    if (account.answeredAt)
        it.level = BucketLevel { account.tokensTold, std::chrono::floor<milliseconds>(now - *account.answeredAt) };
    return it;
}

std::vector<UsageReport> QuotaGate::takeReports(MonotonicTime now)
{
    std::vector<UsageReport> reports;
    for (auto& [workspace, account] : m_accounts) {
        returnExpired(account, now);
        if (!isReportDue(account, now))
            continue;
        reports.push_back(reportOf(workspace, account, now));
        account.isReporting = true;
        account.reportedAt = now;
        if (!account.unansweredSince)
            account.unansweredSince = now;
    }
    return reports;
}

std::uint32_t QuotaGate::allowanceOf(const QuotaGrant& grant, const Account& account)
{
    const auto sinceReport = static_cast<std::uint32_t>(std::max(account.charge, 0));
    return grant.calls - std::min(grant.calls, sinceReport);
}

void QuotaGate::onGrant(const QuotaGrant& grant, MonotonicTime now)
{
    const auto it = m_accounts.find(grant.workspace);
    if (it == m_accounts.end())
        return;
    auto& account = it->second;
    returnExpired(account, now);
    const bool isOpen = grant.mode == QuotaMode::Open;
    const bool keepsTokens = account.mode == QuotaMode::Metered && grant.mode == QuotaMode::Metered;
    if (account.mode == QuotaMode::Metered && !keepsTokens)
        account.charge -= static_cast<std::int32_t>(account.allowed);
    account.allowed = isOpen ? allowanceOf(grant, account) : grant.calls + (keepsTokens ? account.allowed : 0);
    account.allowedUntil = now + s_allowanceTime;
    account.mode = grant.mode;
    account.retryAfter = grant.retryAfter;
    account.tokensTold = grant.tokens;
    account.answeredAt = now;
    account.isReporting = false;
    account.unansweredSince.reset();
    account.usesFallback = false;
    while (!account.waiting.empty() && admit(account, now)) {
        m_decided.push_back({ account.waiting.front(), QuotaVerdict { true, {} } });
        account.waiting.pop_front();
    }
    if (account.mode == QuotaMode::Open)
        return;
    for (const auto ticket : std::exchange(account.waiting, {}))
        m_decided.push_back({ ticket, QuotaVerdict { false, account.retryAfter } });
}

void QuotaGate::onReportFailed(const UsageReport& report, MonotonicTime)
{
    const auto it = m_accounts.find(report.workspace);
    if (it == m_accounts.end())
        return;
    it->second.isReporting = false;
    it->second.arrived += report.arrived;
    it->second.charge += report.charge;
}

std::vector<DecidedCall> QuotaGate::takeDecided(MonotonicTime now)
{
    for (auto& [workspace, account] : m_accounts) {
        if (account.waiting.empty() || !isOwnerUnreachable(account, now))
            continue;
        for (const auto ticket : std::exchange(account.waiting, {}))
            m_decided.push_back({ ticket, decideWithoutOwner(account, now) });
    }
    return std::exchange(m_decided, {});
}

}
