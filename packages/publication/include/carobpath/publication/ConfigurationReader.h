#pragma once

#include "carobpath/publication/ConfigurationFold.h"
#include "carobpath/publication/LogService.h"

#include <chrono>
#include <optional>
#include <vector>

namespace carobpath::publication {

/// One folded record and what became of it.
struct FoldedRecord {
    Offset offset = 0;
    FoldOutcome outcome;
};

/// The next read of the log.
struct NextRead {
    Offset from = 0;
    std::size_t limit = 0;

    friend bool operator==(const NextRead&, const NextRead&) = default;
};

/// Decides what to read from the log and folds what comes. Starts at the first record, or at a checkpoint where the log has
/// trimmed the first, and starts again at a checkpoint where the log has trimmed past the reader.
class ConfigurationReader {
public:
    enum class Phase : std::uint8_t {
        /// Folds record by record.
        Folding,
        /// Reads on from the oldest record until it meets a checkpoint to start from.
        SeekingCheckpoint,
    };

    static constexpr std::size_t s_recordsPerRead = 256;

    explicit ConfigurationReader(TrustedKeys);

    NextRead nextRead() const { return { m_from, s_recordsPerRead }; }

    /// Takes in an answer of the log. \returns what became of each record, in log order.
    std::vector<FoldedRecord> onBatch(const LogBatch&);
    void onTrimmed(const Trimmed&);

    Phase phase() const { return m_phase; }

    /// Whether every record that the log held at the last answer is folded in.
    bool isCaughtUp() const { return m_isCaughtUp; }

    /// Whether the log, read to its end, holds no checkpoint to start from though it has trimmed its first records.
    bool isWithoutCheckpoint() const { return m_isWithoutCheckpoint; }

    /// Whether the log answered with fewer records than were folded already: it lost some.
    bool isLogBehind() const { return m_isLogBehind; }

    /// \returns the newest set; never an older one than returned before.
    ConfigurationPointer current() const { return m_current; }

    const ConfigurationFold& fold() const { return m_fold; }

    /// \returns the checkpoint that the fold started from, until it is asked for again.
    std::optional<CheckpointMatched> takeRecovered() { return std::exchange(m_recovered, std::nullopt); }

private:
    bool foldNext(const LogRecord&, std::vector<FoldedRecord>&);
    bool startFrom(const LogRecord&);
    void publishCurrent();

    TrustedKeys m_keys;
    ConfigurationFold m_fold;
    ConfigurationPointer m_current;
    Phase m_phase = Phase::Folding;
    Offset m_from = 0;
    /// Oldest record that the log keeps.
    Offset m_first = 0;
    bool m_isCaughtUp = false;
    bool m_isLogBehind = false;
    bool m_isWithoutCheckpoint = false;
    std::optional<CheckpointMatched> m_recovered;
};

}
