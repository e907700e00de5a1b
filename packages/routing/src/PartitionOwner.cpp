#include "carobpath/routing/PartitionOwner.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds unavailableRetryAfter { 1000 };
    constexpr milliseconds inProgressRetryAfter { 500 };
    /// Doublings of the backoff after which it stays at its longest.
    constexpr std::uint32_t mostDoublings = 6;

    ClaimResult unavailable() { return { ClaimStatus::Unavailable, unavailableRetryAfter }; }

    IntentKind kindOf(Outcome outcome) { return outcome == Outcome::Ran ? IntentKind::Ran : IntentKind::Release; }

}

PartitionOwner::PartitionOwner(Partition partition, std::string writer)
    : m_partition(partition)
    , m_writer(std::move(writer))
{
}

void PartitionOwner::onClaim(const IntentClaim& claim, LedgerCommands& commands, MonotonicTime now)
{
    m_usedAt = now;
    if (m_claims.contains(claim.request))
        return;
    if (const auto verdict = verdictAtArrival(claim, now)) {
        commands.emplace_back(AnswerClaim { claim.request, *verdict });
        return;
    }
    m_claims[claim.request] = { claim.key, std::min(claim.deadline, now + s_longestClaim) };
    queue({ IntentKind::Claim, claim.key, claim.request }, now);
    advance(commands, now);
}

std::optional<ClaimResult> PartitionOwner::verdictAtArrival(const IntentClaim& claim, MonotonicTime now) const
{
    if (now >= claim.deadline || now < m_pausedUntil || m_claims.size() >= s_maxClaims)
        return unavailable();
    const auto standing = m_fold.standing(claim.key, claim.request);
    // Refusals may come from memory: what was released since then costs a later try, and no second run.
    if (standing == KeyStatus::HeldByOther && ranHere(claim.key))
        return verdictOf(KeyStatus::RanByOther);
    if (standing != KeyStatus::Open && standing != KeyStatus::Holder)
        return verdictOf(standing);
    if (m_failures > 0)
        return unavailable();
    return std::nullopt;
}

bool PartitionOwner::ranHere(const IntentKey& key) const
{
    return std::any_of(m_queue.begin(), m_queue.end(),
        [&](const Intent& it) { return it.kind == IntentKind::Ran && it.key == key; });
}

ClaimResult PartitionOwner::verdictOf(KeyStatus standing) const
{
    switch (standing) {
    case KeyStatus::Holder:
        return { ClaimStatus::Granted, std::nullopt };
    case KeyStatus::HeldByOther:
        return { ClaimStatus::DuplicateInProgress, inProgressRetryAfter };
    case KeyStatus::RanByOther:
        return { ClaimStatus::DuplicateRan, std::nullopt };
    case KeyStatus::Open:
    case KeyStatus::Released:
        break;
    }
    return unavailable();
}

void PartitionOwner::onCallEnded(const IntentEnd& end, LedgerCommands& commands, MonotonicTime now)
{
    m_usedAt = now;
    if (m_claims.erase(end.request) > 0)
        commands.emplace_back(AnswerClaim { end.request, unavailable() });
    if (end.outcome == Outcome::Unknown)
        return;
    queue({ kindOf(end.outcome), end.key, end.request }, now);
    advance(commands, now);
}

void PartitionOwner::queue(Intent intent, MonotonicTime now)
{
    // A release or an end that is dropped leaves a key held for longer, and no more; claims have a bound of their own.
    if (intent.kind != IntentKind::Claim && m_queue.size() >= s_maxQueued)
        return;
    const auto due = intent.kind == IntentKind::Ran ? now + s_ranInterval : now;
    m_flushAt = m_queue.empty() ? due : std::min(m_flushAt, due);
    m_queue.push_back(std::move(intent));
}

MonotonicTime PartitionOwner::nextBatchAt() const { return std::max({ m_nextBatchAt, m_pausedUntil, m_flushAt }); }

void PartitionOwner::advance(LedgerCommands& commands, MonotonicTime now)
{
    if (m_phase == Phase::Idle && !m_queue.empty() && now >= nextBatchAt())
        startBatch(commands, now);
}

void PartitionOwner::startBatch(LedgerCommands& commands, MonotonicTime now)
{
    const auto count = std::min(m_queue.size(), s_maxBatch);
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
    m_batchOffset.reset();
    m_batch = IntentBatch { m_writer + "/" + std::to_string(m_partition) + "/" + std::to_string(++m_batches), {} };
    m_batch->intents.assign(m_queue.begin(), end);
    m_queue.erase(m_queue.begin(), end);
    append(commands, now);
}

void PartitionOwner::append(LedgerCommands& commands, MonotonicTime now)
{
    m_phase = Phase::Appending;
    m_phaseEnds = now + s_logTimeout;
    m_nextBatchAt = now + s_commitInterval;
    AppendIntents it { m_partition, m_batch->id, encodeIntents(*m_batch) };
    commands.emplace_back(std::move(it));
}

void PartitionOwner::read(LedgerCommands& commands, MonotonicTime now)
{
    m_phase = Phase::Reading;
    m_phaseEnds = now + s_logTimeout;
    commands.emplace_back(ReadIntents { m_partition, m_fold.next() });
}

void PartitionOwner::onAppended(
    const std::string& batch, publication::Offset offset, LedgerCommands& commands, MonotonicTime now)
{
    if (!m_batch || m_batch->id != batch)
        return;
    m_batchOffset = offset;
    if (m_phase == Phase::Reading)
        return;
    m_failures = 0;
    read(commands, now);
}

void PartitionOwner::onAppendFailed(const std::string& batch, LedgerCommands& commands, MonotonicTime now)
{
    if (m_phase == Phase::Appending && m_batch && m_batch->id == batch)
        fail(commands, now);
}

void PartitionOwner::onReadFailed(LedgerCommands& commands, MonotonicTime now)
{
    if (m_phase == Phase::Reading)
        fail(commands, now);
}

void PartitionOwner::fail(LedgerCommands& commands, MonotonicTime now)
{
    const auto backoff = s_shortestBackoff * (1LL << std::min(m_failures, mostDoublings));
    ++m_failures;
    m_phase = Phase::Waiting;
    m_phaseEnds = now + std::min<milliseconds>(backoff, s_longestBackoff);
    if (m_failures >= s_giveUpAfter)
        giveUp(commands, MonotonicTime::max(), now);
}

bool PartitionOwner::batchIsSettled() const
{
    if (!m_batch)
        return false;
    // A record that was passed but is not kept was trimmed meanwhile: its claims stand as the rest of the stream says.
    return m_fold.contains(m_batch->id) || (m_batchOffset && m_fold.next() > *m_batchOffset);
}

void PartitionOwner::onRead(const IntentPage& page, LedgerCommands& commands, MonotonicTime now)
{
    const auto before = m_fold.next();
    m_fold.fold(page);
    resetOverfull(now);
    if (m_phase != Phase::Reading)
        return;
    m_failures = 0;
    const bool atEnd = m_fold.next() >= page.next;
    if (batchIsSettled()) {
        settle(commands);
        advance(commands, now);
    } else if (m_fold.next() > before) {
        read(commands, now);
    } else if (!atEnd || m_batchOffset) {
        // A page that does not reach the record: an old answer, or records withheld.
        fail(commands, now);
    } else {
        // The stream has no such record: the append was lost. If it lands later after all, the two are one.
        append(commands, now);
    }
}

void PartitionOwner::resetOverfull(MonotonicTime now)
{
    if (!m_fold.overfull())
        return;
    m_fold = IntentPartition {};
    m_pausedUntil = now + s_overfullPause;
}

void PartitionOwner::settle(LedgerCommands& commands)
{
    for (const auto& it : m_batch->intents) {
        const auto claim = it.kind == IntentKind::Claim ? m_claims.find(it.request) : m_claims.end();
        if (claim == m_claims.end())
            continue;
        commands.emplace_back(AnswerClaim { it.request, verdictOf(m_fold.standing(it.key, it.request)) });
        m_claims.erase(claim);
    }
    m_batch.reset();
    m_phase = Phase::Idle;
}

void PartitionOwner::giveUp(LedgerCommands& commands, MonotonicTime before, MonotonicTime now)
{
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        if (it->second.deadline > before) {
            ++it;
            continue;
        }
        commands.emplace_back(AnswerClaim { it->first, unavailable() });
        queue({ IntentKind::Release, it->second.key, it->first }, now);
        it = m_claims.erase(it);
    }
}

void PartitionOwner::onTick(LedgerCommands& commands, MonotonicTime now)
{
    giveUp(commands, now, now);
    if (m_phase == Phase::Waiting && now >= m_phaseEnds)
        read(commands, now);
    else if (m_phase != Phase::Idle && m_phase != Phase::Waiting && now >= m_phaseEnds)
        fail(commands, now);
    advance(commands, now);
}

MonotonicTime PartitionOwner::nextTick() const
{
    auto at = MonotonicTime::max();
    if (m_phase != Phase::Idle)
        at = m_phaseEnds;
    else if (!m_queue.empty())
        at = nextBatchAt();
    for (const auto& [request, claim] : m_claims)
        at = std::min(at, claim.deadline);
    return at;
}

bool PartitionOwner::idleSince(MonotonicTime since) const
{
    return m_phase == Phase::Idle && m_queue.empty() && m_claims.empty() && m_usedAt < since;
}

}
