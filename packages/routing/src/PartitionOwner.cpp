#include "carobpath/routing/PartitionOwner.h"

#include "carobpath/foundation/ExponentialDelay.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds unavailableRetryAfter { 1000 };
    constexpr milliseconds inProgressRetryAfter { 500 };

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
    m_lastUsedAt = now;
    if (m_claims.contains(claim.request))
        return;
    if (const auto result = resultAtArrival(claim, now)) {
        commands.emplace_back(AnswerClaim { claim.request, *result });
        return;
    }
    m_claims[claim.request] = { claim.key, std::min(claim.deadline, now + s_maxClaimTime) };
    queue({ IntentKind::Claim, claim.key, claim.request }, now);
    advance(commands, now);
}

std::optional<ClaimResult> PartitionOwner::resultAtArrival(const IntentClaim& claim, MonotonicTime now) const
{
    if (now >= claim.deadline || now < m_pausedUntil || m_claims.size() >= s_maxClaims)
        return unavailable();
    const auto status = m_state.status(claim.key, claim.request);
    // A claim may be refused from memory: if the key was released since, the caller has to try again, but no call runs
    // twice.
    if (status == KeyStatus::HeldByOther && hasQueuedRan(claim.key))
        return resultOf(KeyStatus::RanByOther);
    if (status != KeyStatus::Open && status != KeyStatus::Holder)
        return resultOf(status);
    if (m_failures > 0)
        return unavailable();
    return std::nullopt;
}

bool PartitionOwner::hasQueuedRan(const IntentKey& key) const
{
    return std::any_of(m_queue.begin(), m_queue.end(),
        [&](const Intent& it) { return it.kind == IntentKind::Ran && it.key == key; });
}

ClaimResult PartitionOwner::resultOf(KeyStatus status) const
{
    switch (status) {
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
    m_lastUsedAt = now;
    if (m_claims.erase(end.request) > 0)
        commands.emplace_back(AnswerClaim { end.request, unavailable() });
    if (end.outcome == Outcome::Unknown)
        return;
    queue({ kindOf(end.outcome), end.key, end.request }, now);
    advance(commands, now);
}

void PartitionOwner::queue(Intent intent, MonotonicTime now)
{
    // Without its release, a key stays held until the log trims its claim. Without its ran intent, duplicates of the call
    // are told that its outcome is not known. Neither lets a second call run. Claims have a limit of their own.
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
    m_phaseDeadline = now + s_logTimeout;
    m_nextBatchAt = now + s_commitInterval;
    AppendIntents it { m_partition, m_batch->id, encodeIntents(*m_batch) };
    commands.emplace_back(std::move(it));
}

void PartitionOwner::read(LedgerCommands& commands, MonotonicTime now)
{
    m_phase = Phase::Reading;
    m_phaseDeadline = now + s_logTimeout;
    commands.emplace_back(ReadIntents { m_partition, m_state.next() });
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
    m_phase = Phase::Waiting;
    m_phaseDeadline = now + exponentialDelay(s_minBackoff, m_failures, s_maxBackoff);
    ++m_failures;
    if (m_failures >= s_maxLogFailures)
        abandonClaims(commands, MonotonicTime::max(), now);
}

bool PartitionOwner::isBatchDecided() const
{
    if (!m_batch)
        return false;
    // A record that was passed but is not stored has been trimmed meanwhile: the rest of the stream decides its claims.
    return m_state.contains(m_batch->id) || (m_batchOffset && m_state.next() > *m_batchOffset);
}

void PartitionOwner::onRead(const IntentPage& page, LedgerCommands& commands, MonotonicTime now)
{
    const auto before = m_state.next();
    m_state.apply(page);
    resetIfOverCapacity(now);
    if (m_phase != Phase::Reading)
        return;
    m_failures = 0;
    const bool atEnd = m_state.next() >= page.next;
    if (isBatchDecided()) {
        answerBatch(commands);
        advance(commands, now);
    } else if (m_state.next() > before) {
        read(commands, now);
    } else if (!atEnd || m_batchOffset) {
        // The page does not reach the record: it is an outdated answer, or the log withheld records.
        fail(commands, now);
    } else {
        // The stream does not contain the record, so the append was lost. If the lost append still takes effect later, both
        // records together have the effect of one.
        append(commands, now);
    }
}

void PartitionOwner::resetIfOverCapacity(MonotonicTime now)
{
    if (!m_state.overCapacity())
        return;
    m_state = IntentPartition {};
    m_pausedUntil = now + s_overCapacityPause;
}

void PartitionOwner::answerBatch(LedgerCommands& commands)
{
    for (const auto& it : m_batch->intents) {
        const auto claim = it.kind == IntentKind::Claim ? m_claims.find(it.request) : m_claims.end();
        if (claim == m_claims.end())
            continue;
        commands.emplace_back(AnswerClaim { it.request, resultOf(m_state.status(it.key, it.request)) });
        m_claims.erase(claim);
    }
    m_batch.reset();
    m_phase = Phase::Idle;
}

void PartitionOwner::abandonClaims(LedgerCommands& commands, MonotonicTime before, MonotonicTime now)
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
    abandonClaims(commands, now, now);
    if (m_phase == Phase::Waiting && now >= m_phaseDeadline)
        read(commands, now);
    else if (m_phase != Phase::Idle && m_phase != Phase::Waiting && now >= m_phaseDeadline)
        fail(commands, now);
    advance(commands, now);
}

MonotonicTime PartitionOwner::nextTick() const
{
    auto at = MonotonicTime::max();
    if (m_phase != Phase::Idle)
        at = m_phaseDeadline;
    else if (!m_queue.empty())
        at = nextBatchAt();
    for (const auto& [request, claim] : m_claims)
        at = std::min(at, claim.deadline);
    return at;
}

bool PartitionOwner::idleSince(MonotonicTime since) const
{
    return m_phase == Phase::Idle && m_queue.empty() && m_claims.empty() && m_lastUsedAt < since;
}

}
