#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ConfigurationLogFollower.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace carobpath::publication {

/// What a member wants to publish.
struct PublishRequest {
    RecordId id;
    MemberName member;
    std::vector<Change> changes;
};

/// The record is in force with this stamp.
struct Published {
    ConfigurationStamp stamp;
};

/// An earlier run with the same id was accepted at this offset.
struct PublishedBefore {
    Offset offset = 0;
};

/// The log holds the record, and every reader rejects it.
struct PublishRejected {
    Offset offset = 0;
    /// Empty where an earlier run with the same id was rejected before the newest checkpoint.
    Faults faults;
};

/// The check against the newest set failed, so that nothing was appended.
struct CheckFailed {
    Faults faults;
};

/// The private key is not one that readers trust for the member, so that nothing was appended.
struct WrongKey { };

/// The log has trimmed its first records and holds no checkpoint to start from, so that nothing was appended.
struct NoCheckpoint { };

/// Nothing was appended.
struct NotPublished {
    LogFailure failure;
};

/// The record may be in the log. Publishing again with the same id is safe.
struct ResultUnknown {
    RecordId id;
};

using PublishResult = std::variant<Published, PublishedBefore, PublishRejected, CheckFailed, WrongKey, NoCheckpoint, NotPublished, ResultUnknown>;

/// Read the log; the answer goes to \c Publisher::onRead.
struct ReadLog {
    Offset from = 0;
    std::chrono::milliseconds wait {};
    std::size_t limit = 0;
};

/// Append the record; the answer goes to \c Publisher::onAppend.
struct AppendRecord {
    std::string bytes;
};

/// Call \c Publisher::onTimer after the delay.
struct WaitFor {
    std::chrono::milliseconds delay {};
};

/// Nothing more is to be done.
struct Finish {
    PublishResult result;
};

using PublishCommand = std::variant<ReadLog, AppendRecord, WaitFor, Finish>;

struct PublisherOptions {
    /// Time for the whole, from the start.
    std::chrono::milliseconds giveUpAfter { std::chrono::seconds { 30 } };
    std::chrono::milliseconds firstRetry { 100 };
    std::chrono::milliseconds longestRetry { 2000 };
    /// Wait of a read that looks for the record's own outcome.
    std::chrono::milliseconds readWait { 1000 };
};

/// Decides the steps of one publication: read the log to its end, check, append, and read on to the record's own outcome.
/// Where the answer to an append is lost it looks for the record and else appends it again with the same id.
class Publisher {
public:
    Publisher(PublishRequest, const KeyPair&, TrustedKeys, PublisherOptions, std::mt19937_64);

    PublishCommand start(MonotonicTime);
    PublishCommand onRead(const ReadResult&, MonotonicTime);
    PublishCommand onAppend(const AppendResult&, MonotonicTime);
    PublishCommand onTimer(MonotonicTime);

    /// The log as far as it was read.
    const ConfigurationLogFollower& log() const { return m_log; }

private:
    enum class Step : std::uint8_t {
        /// Reads to the end of the log.
        Reading,
        /// The record was appended, and its outcome is read.
        Confirming,
    };

    PublishCommand read() const;
    PublishCommand append();
    PublishCommand makeRecord();
    bool hasGap(const LogBatch&, const std::vector<AppliedRecord>&) const;
    PublishCommand retry(MonotonicTime);
    PublishCommand giveUp() const;
    PublishCommand afterFolding(MonotonicTime);
    std::optional<PublishResult> resultIn(const std::vector<AppliedRecord>&) const;
    PublishResult ofThisRun(PublishResult) const;
    std::optional<PublishResult> rememberedResult() const;
    std::optional<Faults> faultsOfCheck() const;

    PublishRequest m_request;
    KeyPair m_key;
    TrustedKeys m_keys;
    ConfigurationLogFollower m_log;
    PublisherOptions m_options;
    std::mt19937_64 m_random;
    Backoff m_backoff;
    MonotonicTime m_giveUpAt;
    Step m_step = Step::Reading;
    /// The signed record; empty until the first append.
    std::string m_bytes;
    bool m_mayBeAppended = false;
    LogFailure m_lastFailure;
};

}
