#include "carobpath/publication/CheckpointSchedule.h"

#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>

namespace carobpath::publication {

CheckpointSchedule::CheckpointSchedule(NodeName self, CheckpointPolicy policy)
    : m_self(std::move(self))
    , m_policy(policy)
{
}

void CheckpointSchedule::onCheckpointLoaded(Offset checkpointNext, WallTime writtenAt)
{
    m_next = std::max(m_next, checkpointNext);
    noteCheckpoint(checkpointNext, writtenAt);
}

void CheckpointSchedule::onRecord(Offset offset, const ApplyOutcome& outcome)
{
    if (const auto* matched = std::get_if<CheckpointMatched>(&outcome))
        return noteCheckpoint(matched->next, matched->writtenAt);
    if (std::holds_alternative<CheckpointMismatch>(outcome))
        ++m_mismatches;
    const bool isCheckpoint = std::holds_alternative<CheckpointMismatch>(outcome) || std::holds_alternative<CheckpointIgnored>(outcome);
    if (!isCheckpoint && !std::holds_alternative<OutOfOrder>(outcome))
        m_next = offset + 1;
}

std::optional<WriteCheckpoint> CheckpointSchedule::poll(const std::vector<NodeName>& live, Now now)
{
    if (!isNeeded(now.wall)) {
        m_neededSince.reset();
        return std::nullopt;
    }
    if (!m_neededSince)
        m_neededSince = now.monotonic;
    if (now.monotonic - *m_neededSince < m_policy.takeoverDelay * rankOf(live))
        return std::nullopt;
    if (m_lastWrite && now.monotonic - *m_lastWrite < m_policy.retry)
        return std::nullopt;
    m_lastWrite = now.monotonic;
    return WriteCheckpoint {};
}

void CheckpointSchedule::noteCheckpoint(Offset next, WallTime writtenAt)
{
    if (m_newest && m_newest->next > next)
        return;
    m_newest = Newest { next, writtenAt };
    m_neededSince.reset();
}

bool CheckpointSchedule::isNeeded(WallTime now) const
{
    // The first checkpoint is written without delay, since all nodes may be replaced before it would be due by age.
    if (!m_newest)
        return m_next > 0;
    const bool hasManyRecords = m_next > m_newest->next && m_next - m_newest->next >= m_policy.records;
    return hasManyRecords || now - m_newest->writtenAt >= m_policy.age;
}

// The key changes with each checkpoint, so that the nodes take turns in writing checkpoints.
std::size_t CheckpointSchedule::rankOf(const std::vector<NodeName>& live) const
{
    const std::string key = "checkpoint/" + std::to_string(m_newest ? m_newest->next : 0);
    const auto own = rendezvousScore(key, m_self.value());
    return static_cast<std::size_t>(std::count_if(live.begin(), live.end(), [&](const NodeName& it) {
        return it != m_self && rendezvousScore(key, it.value()) > own;
    }));
}

}
