#include "carobpath/publication/ConfigurationLogFollower.h"

#include "carobpath/publication/Record.h"

#include <utility>

namespace carobpath::publication {

namespace {

    std::optional<CheckpointRecord> checkpointIn(const LogRecord& record)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<CheckpointRecord>> {
                BOOST_LEAF_AUTO(decoded, decodeRecord(record.body));
                const auto* checkpoint = std::get_if<CheckpointRecord>(&decoded);
                return checkpoint ? std::optional { *checkpoint } : std::nullopt;
            },
            [] { return std::optional<CheckpointRecord> {}; });
    }

    std::optional<ConfigurationStateMachine> stateMachineFrom(const CheckpointRecord& checkpoint, const TrustedKeys& keys)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<ConfigurationStateMachine>> {
                BOOST_LEAF_AUTO(machine, ConfigurationStateMachine::fromCheckpoint(checkpoint, keys));
                return std::optional { std::move(machine) };
            },
            [] { return std::optional<ConfigurationStateMachine> {}; });
    }

}

ConfigurationLogFollower::ConfigurationLogFollower(TrustedKeys keys)
    : m_keys(std::move(keys))
    , m_stateMachine(ConfigurationStateMachine { m_keys })
{
}

std::vector<AppliedRecord> ConfigurationLogFollower::onBatch(const LogBatch& batch)
{
    std::vector<AppliedRecord> steps;
    for (const auto& record : batch.records) {
        if (record.offset != m_nextRead)
            continue;
        ++m_nextRead;
        if (m_stateMachine)
            steps.push_back(AppliedRecord { record.offset, m_stateMachine->apply(record.offset, record.body) });
        else
            seekCheckpoint(record, batch.first);
        if (m_nextRead <= record.offset)
            break;
    }
    const bool atEnd = m_nextRead >= batch.next;
    m_caughtUp = m_stateMachine && atEnd;
    if (!m_stateMachine)
        m_state = atEnd ? FollowerState::NoCheckpoint : FollowerState::SeekingCheckpoint;
    return steps;
}

void ConfigurationLogFollower::seekCheckpoint(const LogRecord& record, Offset firstKept)
{
    const auto checkpoint = checkpointIn(record);
    if (!checkpoint || checkpoint->state.next < firstKept || checkpoint->state.next > record.offset)
        return;
    m_stateMachine = stateMachineFrom(*checkpoint, m_keys);
    if (!m_stateMachine)
        return;
    m_state = FollowerState::Replaying;
    m_nextRead = m_stateMachine->next();
    m_start = CheckpointMatched { checkpoint->state.next, checkpoint->writtenAt };
}

void ConfigurationLogFollower::onTrimmed(const Trimmed& trimmed)
{
    // The records after the applied ones have been trimmed, so the state can't be brought up to date.
    m_stateMachine.reset();
    m_state = FollowerState::SeekingCheckpoint;
    m_nextRead = trimmed.first;
    m_caughtUp = false;
}

ConfigurationPointer ConfigurationLogFollower::current() const
{
    return m_stateMachine ? m_stateMachine->current() : nullptr;
}

const RememberedRecord* ConfigurationLogFollower::find(const MemberName& member, const RecordId& id) const
{
    return m_stateMachine ? m_stateMachine->find(member, id) : nullptr;
}

std::optional<ReplicatedState> ConfigurationLogFollower::replicatedState() const
{
    if (!m_stateMachine)
        return std::nullopt;
    return m_stateMachine->state();
}

}
