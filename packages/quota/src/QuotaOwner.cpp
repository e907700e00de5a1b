#include "carobpath/quota/QuotaOwner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace carobpath::quota {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr double milli = 1000;
    /// Part of a bucket that is kept in reserve at most.
    constexpr double largestReserve = 0.5;
    /// Tokens for each node that holds an allowance, below which the workspace is metered.
    constexpr double tokensPerNode = 2;
    /// Part of the slack that a bucket holds beyond the burst, so that a workspace with few calls is not metered for want of
    /// whole tokens.
    constexpr double slackInBucket = 0.5;
    /// Part of the overage that a guess makes use of, so that two changes of the owner in one window stay within it.
    constexpr double overageInGuess = 1.0 / 3;

    std::int32_t wholeTokens(double tokens)
    {
        using Limits = std::numeric_limits<std::int32_t>;
        return static_cast<std::int32_t>(std::clamp<double>(std::floor(tokens), Limits::min(), Limits::max()));
    }

}

QuotaOwner::QuotaOwner(QuotaPolicy policy, std::mt19937_64 random)
    : m_policy(policy)
    , m_random(random)
{
}

double QuotaOwner::callsPerSecond(const publication::RateLimit& limit) const
{
    return m_part * static_cast<double>(limit.milliCallsPerSecond) / milli;
}

double QuotaOwner::capacityOf(const publication::RateLimit& limit) const
{
    return std::max(1.0, m_part * (static_cast<double>(limit.burst) + m_policy.slack * slackInBucket));
}

double QuotaOwner::guessedTokens(const publication::RateLimit& limit) const
{
    const double inWindow = callsPerSecond(limit) * Seconds { m_policy.window }.count();
    return m_part * m_policy.slack * slackInBucket + inWindow * m_policy.overage * overageInGuess;
}

void QuotaOwner::setConfiguration(const publication::ConfigurationSet& set, MonotonicTime now)
{
    m_limits.clear();
    for (const auto& [name, entry] : set.workspaces) {
        if (entry.workspace.limit)
            m_limits.emplace(name, *entry.workspace.limit);
    }
    std::erase_if(m_accounts, [this](const auto& it) { return !m_limits.contains(it.first); });
    applyLimits(now);
}

void QuotaOwner::setPart(double part, MonotonicTime now)
{
    m_part = part;
    applyLimits(now);
}

void QuotaOwner::applyLimits(MonotonicTime now)
{
    for (auto& [name, account] : m_accounts) {
        const auto& limit = m_limits.at(name);
        account.bucket.setRate(callsPerSecond(limit), capacityOf(limit), now);
    }
}

QuotaOwner::Account& QuotaOwner::accountOf(const WorkspaceName& workspace, const publication::RateLimit& limit, MonotonicTime now)
{
    const auto [it, isNew] = m_accounts.try_emplace(workspace);
    auto& account = it->second;
    if (isNew || now - account.reportedAt >= s_idleTime) {
        account = Account {};
        account.openedAt = now;
        account.bucket = TokenBucket { callsPerSecond(limit), capacityOf(limit), guessedTokens(limit), now };
    }
    account.reportedAt = now;
    return account;
}

void QuotaOwner::adoptLevel(Account& account, const UsageReport& report, MonotonicTime now) const
{
    if (!report.level || report.level->age > m_policy.window)
        return;
    const auto toldAt = now - report.level->age;
    const bool isOwn = toldAt > account.openedAt;
    const bool isOutdated = account.levelToldAt && toldAt <= *account.levelToldAt;
    if (isOwn || isOutdated)
        return;
    account.levelToldAt = toldAt;
    const double rate = account.bucket.tokensPerSecond();
    const double gainedBefore = rate * Seconds { account.openedAt - toldAt }.count();
    const double atOpening = std::min(account.bucket.capacity(), report.level->tokens + gainedBefore);
    const double gainedSince = rate * Seconds { now - account.openedAt }.count();
    account.bucket.setTokens(atOpening + gainedSince - account.taken, now);
}

void QuotaOwner::boundOverdraft(Account& account, const publication::RateLimit& limit, MonotonicTime now) const
{
    const double inWindow = static_cast<double>(limit.milliCallsPerSecond) / milli * Seconds { m_policy.window }.count();
    const double lowest = -(inWindow + static_cast<double>(limit.burst) + m_policy.slack);
    if (account.bucket.tokens(now) < lowest)
        account.bucket.setTokens(lowest, now);
}

void QuotaOwner::take(Account& account, double tokens, MonotonicTime now)
{
    account.bucket.take(tokens, now);
    account.taken += tokens;
}

QuotaGrant QuotaOwner::onReport(const NodeName& node, const UsageReport& report, MonotonicTime now)
{
    QuotaGrant it;
    it.workspace = report.workspace;
    const auto limit = m_limits.find(report.workspace);
    if (limit == m_limits.end()) {
        it.calls = report.arrived + 1;
        return it;
    }
    auto& account = accountOf(report.workspace, limit->second, now);
    adoptLevel(account, report, now);
    account.demand.add(report.arrived, now);
    take(account, report.charge, now);
    boundOverdraft(account, limit->second, now);
    const auto nodes = static_cast<double>(activeNodes(account, node, now));
    updateMode(account, now);
    it.mode = account.mode;
    if (account.mode == QuotaMode::Open) {
        it.calls = static_cast<std::uint32_t>(account.bucket.tokens(now) / nodes);
    } else {
        it.calls = grant(account, report.arrived, now);
        const Seconds wait { Seconds { s_minRetryAfter } / std::max(grantedPart(account, now), 1e-3) };
        it.retryAfter = std::min(std::chrono::ceil<std::chrono::milliseconds>(wait), s_maxRetryAfter);
    }
    it.tokens = wholeTokens(account.bucket.tokens(now));
    return it;
}

std::size_t QuotaOwner::activeNodes(Account& account, const NodeName& reporter, MonotonicTime now)
{
    account.reporters[reporter] = now;
    std::erase_if(account.reporters, [now](const auto& it) { return now - it.second > s_allowanceTime; });
    return account.reporters.size();
}

void QuotaOwner::updateMode(Account& account, MonotonicTime now)
{
    const double tokens = account.bucket.tokens(now);
    const double demand = account.demand.perSecond(now);
    const double forNews = std::min(account.bucket.capacity() * largestReserve, demand * Seconds { s_reserveTime }.count());
    const double reserve = std::max(forNews, tokensPerNode * static_cast<double>(account.reporters.size()));
    if (tokens < reserve)
        account.mode = QuotaMode::Metered;
    else if (tokens >= std::min(2 * reserve, account.bucket.capacity() - 1) && demand <= account.bucket.tokensPerSecond())
        account.mode = QuotaMode::Open;
}

double QuotaOwner::grantedPart(const Account& account, MonotonicTime now)
{
    const double rate = account.bucket.tokensPerSecond();
    const double forNextReports = rate * Seconds { s_roundTime }.count();
    const double surplus = std::max(0.0, account.bucket.tokens(now) - forNextReports) / Seconds { s_surplusTime }.count();
    const double supply = rate + surplus;
    return supply / std::max(account.demand.perSecond(now), supply);
}

std::uint32_t QuotaOwner::grant(Account& account, std::uint32_t arrived, MonotonicTime now)
{
    const double due = arrived * grantedPart(account, now);
    // Rounded at random, so that a node with few calls gets its part over time.
    const double rounded = std::floor(due + std::uniform_real_distribution<double> {}(m_random));
    const double tokens = std::floor(std::clamp(account.bucket.tokens(now), 0.0, rounded));
    take(account, tokens, now);
    return static_cast<std::uint32_t>(tokens);
}

std::vector<QuotaState> QuotaOwner::states(MonotonicTime now) const
{
    std::vector<QuotaState> states;
    for (const auto& [name, account] : m_accounts) {
        if (now - account.reportedAt < s_idleTime)
            states.push_back({ name, account.mode, account.bucket.tokensPerSecond(), account.bucket.tokens(now), account.demand.perSecond(now) });
    }
    return states;
}

}
