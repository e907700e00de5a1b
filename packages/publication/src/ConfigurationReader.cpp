#include "carobpath/publication/ConfigurationReader.h"

namespace carobpath::publication {

namespace {

    std::optional<CheckpointRecord> checkpointIn(std::string_view bytes)
    {
        // Most records are no checkpoints; the look at the kind saves decoding them twice.
        if (bytes.find("\"kind\":\"checkpoint\"") == std::string_view::npos)
            return std::nullopt;
        auto record = decodeRecord(bytes);
        if (!record)
            return std::nullopt;
        auto* checkpoint = std::get_if<CheckpointRecord>(&record.value());
        return checkpoint ? std::optional { std::move(*checkpoint) } : std::nullopt;
    }

}

ConfigurationReader::ConfigurationReader(TrustedKeys keys)
    : m_keys(keys)
    , m_fold(std::move(keys))
{
}

std::vector<FoldedRecord> ConfigurationReader::onBatch(const LogBatch& batch)
{
    std::vector<FoldedRecord> folded;
    folded.reserve(batch.records.size());
    m_first = batch.first;
    m_isLogBehind = batch.next < m_from;
    for (const auto& record : batch.records) {
        if (m_phase == Phase::Folding) {
            if (!foldNext(record, folded))
                break;
            continue;
        }
        m_from = record.offset + 1;
        // The records between the state of the checkpoint and the checkpoint itself are read again.
        if (startFrom(record))
            break;
    }
    m_isCaughtUp = m_phase == Phase::Folding && m_from >= batch.next;
    m_isWithoutCheckpoint = m_phase == Phase::SeekingCheckpoint && m_from >= batch.next;
    publishCurrent();
    return folded;
}

void ConfigurationReader::onTrimmed(const Trimmed& trimmed)
{
    m_phase = Phase::SeekingCheckpoint;
    m_from = trimmed.first;
    m_first = trimmed.first;
    m_isCaughtUp = false;
}

bool ConfigurationReader::foldNext(const LogRecord& record, std::vector<FoldedRecord>& folded)
{
    folded.push_back({ record.offset, m_fold.apply(record.offset, record.body) });
    m_from = m_fold.next();
    return !std::holds_alternative<OutOfOrder>(folded.back().outcome);
}

bool ConfigurationReader::startFrom(const LogRecord& record)
{
    const auto checkpoint = checkpointIn(record.body);
    if (!checkpoint || checkpoint->state.next < m_first || checkpoint->state.next > record.offset)
        return false;
    auto fold = ConfigurationFold::fromCheckpoint(*checkpoint, m_keys);
    if (!fold)
        return false;
    m_fold = std::move(*fold);
    m_phase = Phase::Folding;
    m_from = m_fold.next();
    m_recovered = CheckpointMatched { checkpoint->state.next, checkpoint->writtenAt };
    return true;
}

void ConfigurationReader::publishCurrent()
{
    const auto newest = m_fold.current();
    if (newest && (!m_current || newest->stamp.offset >= m_current->stamp.offset))
        m_current = newest;
}

}
