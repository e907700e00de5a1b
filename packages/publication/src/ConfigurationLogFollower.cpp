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

    std::optional<ConfigurationStateMachine> foldFrom(const CheckpointRecord& checkpoint, const TrustedKeys& keys)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<ConfigurationStateMachine>> {
                BOOST_LEAF_AUTO(fold, ConfigurationStateMachine::fromCheckpoint(checkpoint, keys));
                return std::optional { std::move(fold) };
            },
            [] { return std::optional<ConfigurationStateMachine> {}; });
    }

}

ConfigurationLogFollower::ConfigurationLogFollower(TrustedKeys keys)
    : m_keys(std::move(keys))
    , m_fold(ConfigurationStateMachine { m_keys })
{
}

std::vector<AppliedRecord> ConfigurationLogFollower::onBatch(const LogBatch& batch)
{
    std::vector<AppliedRecord> steps;
    for (const auto& record : batch.records) {
        if (record.offset != m_nextRead)
            continue;
        ++m_nextRead;
        if (m_fold)
            steps.push_back(AppliedRecord { record.offset, m_fold->apply(record.offset, record.body) });
        else
            seek(record, batch.first);
        if (m_nextRead <= record.offset)
            break;
    }
    const bool atEnd = m_nextRead >= batch.next;
    m_caughtUp = m_fold && atEnd;
    if (!m_fold)
        m_state = atEnd ? FollowerState::NoCheckpoint : FollowerState::SeekingCheckpoint;
    return steps;
}

void ConfigurationLogFollower::seek(const LogRecord& record, Offset firstKept)
{
    const auto checkpoint = checkpointIn(record);
    if (!checkpoint || checkpoint->state.next < firstKept || checkpoint->state.next > record.offset)
        return;
    m_fold = foldFrom(*checkpoint, m_keys);
    if (!m_fold)
        return;
    m_state = FollowerState::Replaying;
    m_nextRead = m_fold->next();
    m_start = CheckpointMatched { checkpoint->state.next, checkpoint->writtenAt };
}

void ConfigurationLogFollower::onTrimmed(const Trimmed& trimmed)
{
    // What was folded is behind the records kept, so it can't be carried on.
    m_fold.reset();
    m_state = FollowerState::SeekingCheckpoint;
    m_nextRead = trimmed.first;
    m_caughtUp = false;
}

ConfigurationPointer ConfigurationLogFollower::current() const
{
    return m_fold ? m_fold->current() : nullptr;
}

const RememberedRecord* ConfigurationLogFollower::find(const MemberName& member, const RecordId& id) const
{
    return m_fold ? m_fold->find(member, id) : nullptr;
}

std::optional<ReplicatedState> ConfigurationLogFollower::replicatedState() const
{
    if (!m_fold)
        return std::nullopt;
    return m_fold->state();
}

}
