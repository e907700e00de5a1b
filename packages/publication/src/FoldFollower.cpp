#include "carobpath/publication/FoldFollower.h"

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

    std::optional<ConfigurationFold> foldFrom(const CheckpointRecord& checkpoint, const TrustedKeys& keys)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<ConfigurationFold>> {
                BOOST_LEAF_AUTO(fold, ConfigurationFold::fromCheckpoint(checkpoint, keys));
                return std::optional { std::move(fold) };
            },
            [] { return std::optional<ConfigurationFold> {}; });
    }

}

FoldFollower::FoldFollower(TrustedKeys keys)
    : m_keys(std::move(keys))
    , m_fold(ConfigurationFold { m_keys })
{
}

std::vector<FoldStep> FoldFollower::onBatch(const LogBatch& batch)
{
    std::vector<FoldStep> steps;
    for (const auto& record : batch.records) {
        if (record.offset != m_nextRead)
            continue;
        ++m_nextRead;
        if (m_fold)
            steps.push_back(FoldStep { record.offset, m_fold->apply(record.offset, record.body) });
        else
            seek(record, batch.first);
        if (m_nextRead <= record.offset)
            break;
    }
    const bool atEnd = m_nextRead >= batch.next;
    m_caughtUp = m_fold && atEnd;
    if (!m_fold)
        m_state = atEnd ? FollowState::NoCheckpoint : FollowState::SeekingCheckpoint;
    return steps;
}

void FoldFollower::seek(const LogRecord& record, Offset firstKept)
{
    const auto checkpoint = checkpointIn(record);
    if (!checkpoint || checkpoint->state.next < firstKept || checkpoint->state.next > record.offset)
        return;
    m_fold = foldFrom(*checkpoint, m_keys);
    if (!m_fold)
        return;
    m_state = FollowState::Folding;
    m_nextRead = m_fold->next();
    m_start = CheckpointMatched { checkpoint->state.next, checkpoint->writtenAt };
}

void FoldFollower::onTrimmed(const Trimmed& trimmed)
{
    // What was folded is behind the records kept, so it can't be carried on.
    m_fold.reset();
    m_state = FollowState::SeekingCheckpoint;
    m_nextRead = trimmed.first;
    m_caughtUp = false;
}

ConfigurationPointer FoldFollower::current() const
{
    return m_fold ? m_fold->current() : nullptr;
}

const RememberedRecord* FoldFollower::find(const MemberName& member, const RecordId& id) const
{
    return m_fold ? m_fold->find(member, id) : nullptr;
}

std::optional<FoldState> FoldFollower::foldState() const
{
    if (!m_fold)
        return std::nullopt;
    return m_fold->state();
}

}
