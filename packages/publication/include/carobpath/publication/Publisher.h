#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ConfigurationLogFollower.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace carobpath::publication {

/// Request of a member to publish changes.
struct PublishRequest {
    RecordId id;
    MemberName member;
    std::vector<Change> changes;
};

/// The record took effect; the stamp identifies the resulting set.
struct Published {
    ConfigurationStamp stamp;
};

/// An earlier run with the same id was accepted at this offset.
struct PublishedBefore {
    Offset offset = 0;
};

/// The record is in the log, but every log reader rejects it.
struct PublishRejected {
    Offset offset = 0;
    /// Empty if an earlier run with the same id was rejected before the checkpoint from which the log was read.
    Faults faults;
};

/// The check against the newest set failed, so nothing was appended.
struct CheckFailed {
    Faults faults;
};

/// The private key is not trusted for the member, so nothing was appended.
struct WrongKey { };

/// The log has trimmed its first records and contains no usable checkpoint, so nothing was appended.
struct NoCheckpoint { };

/// Nothing was appended, because of the failure.
struct NotPublished {
    LogFailure failure;
};

/// The record may be in the log. Publishing again with the same id is safe.
struct ResultUnknown {
    RecordId id;
};

using PublishResult = std::variant<Published, PublishedBefore, PublishRejected, CheckFailed, WrongKey, NoCheckpoint, NotPublished, ResultUnknown>;

/// Command: read the log and pass the result to \c Publisher::onRead.
struct ReadLog {
    Offset from = 0;
    std::chrono::milliseconds wait {};
    std::size_t limit = 0;
};

/// Command: append the record and pass the result to \c Publisher::onAppend.
struct AppendRecord {
    std::string bytes;
};

/// Command: call \c Publisher::onTimer after the delay.
struct WaitFor {
    std::chrono::milliseconds delay {};
};

/// The publication has ended with this result.
struct Finish {
    PublishResult result;
};

using PublishCommand = std::variant<ReadLog, AppendRecord, WaitFor, Finish>;

struct PublisherOptions {
    /// Time limit for the entire publication, measured from the start.
    std::chrono::milliseconds giveUpAfter { std::chrono::seconds { 30 } };
    std::chrono::milliseconds initialRetryDelay { 100 };
    std::chrono::milliseconds maxRetryDelay { 2000 };
    /// Maximum wait of a read for the outcome of the appended record.
    std::chrono::milliseconds readWait { 1000 };
};

/// Decides the steps of one publication: read the log to its end, check the changes, append the record, and read the log
/// until the outcome of the record is known. If the answer to an append is lost, it searches the log for the record and, if
/// it is absent, appends it again with the same id.
class Publisher {
public:
    Publisher(PublishRequest, const KeyPair&, TrustedKeys, PublisherOptions, std::mt19937_64);

    PublishCommand start(MonotonicTime);
    PublishCommand onRead(const ReadResult&, MonotonicTime);
    PublishCommand onAppend(const AppendResult&, MonotonicTime);
    PublishCommand onTimer(MonotonicTime);

    /// The log as read so far.
    const ConfigurationLogFollower& log() const { return m_log; }

private:
    enum class Step : std::uint8_t {
        /// Reads the log to its end.
        Reading,
        /// The record was appended; reads the log until its outcome is known.
        Confirming,
    };

    PublishCommand read() const;
    PublishCommand append();
    PublishCommand makeRecord();
    bool hasGap(const LogBatch&, const std::vector<AppliedRecord>&) const;
    PublishCommand retry(MonotonicTime);
    PublishCommand giveUp() const;
    PublishCommand afterApplying(MonotonicTime);
    std::optional<PublishResult> findResult(const std::vector<AppliedRecord>&) const;
    PublishResult asResultOfThisRun(PublishResult) const;
    std::optional<PublishResult> rememberedResult() const;
    std::optional<Faults> checkRequest() const;

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
