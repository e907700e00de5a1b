#include "carobpath/publication/Publisher.h"

#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/SetCheck.h"

#include <algorithm>

namespace carobpath::publication {

namespace {

    constexpr std::size_t recordsPerRead = 256;

    /// Extracts the result of the request from the outcome of an applied record.
    struct ResultFinder {
        const PublishRequest& request;
        Offset offset;

        bool isOwn(const MemberName& member, const RecordId& id) const { return member == request.member && id == request.id; }

        std::optional<PublishResult> operator()(const Accepted& it) const
        {
            return isOwn(it.member, it.id) ? std::optional<PublishResult> { Published { it.stamp } } : std::nullopt;
        }
        std::optional<PublishResult> operator()(const Rejected& it) const
        {
            return isOwn(it.member, it.id) ? std::optional<PublishResult> { PublishRejected { offset, it.faults } } : std::nullopt;
        }
        std::optional<PublishResult> operator()(const Duplicate& it) const
        {
            if (!isOwn(it.member, it.id))
                return std::nullopt;
            if (it.accepted)
                return PublishedBefore { it.firstAt };
            return PublishRejected { it.firstAt, {} };
        }
        template <typename Other>
        std::optional<PublishResult> operator()(const Other&) const
        {
            return std::nullopt;
        }
    };

}

Publisher::Publisher(PublishRequest request, const KeyPair& key, TrustedKeys keys, PublisherOptions options, std::mt19937_64 random)
    : m_request(std::move(request))
    , m_key(key)
    , m_keys(keys)
    , m_log(std::move(keys))
    , m_options(options)
    , m_random(random)
    , m_backoff(options.initialRetryDelay, options.maxRetryDelay)
{
}

PublishCommand Publisher::start(MonotonicTime now)
{
    m_giveUpAt = now + m_options.giveUpAfter;
    return read();
}

PublishCommand Publisher::onRead(const ReadResult& result, MonotonicTime now)
{
    if (const auto* failure = std::get_if<LogFailure>(&result)) {
        m_lastFailure = *failure;
        return failure->error == LogError::Refused ? giveUp() : retry(now);
    }
    m_backoff.reset();
    if (const auto* trimmed = std::get_if<Trimmed>(&result)) {
        m_log.onTrimmed(*trimmed);
        return read();
    }
    const auto& batch = std::get<LogBatch>(result);
    const auto applied = m_log.onBatch(batch);
    if (auto own = findResult(applied))
        return Finish { asResultOfThisRun(*std::move(own)) };
    if (now >= m_giveUpAt)
        return giveUp();
    if (hasGap(batch, applied))
        return retry(now);
    return afterApplying(now);
}

PublishCommand Publisher::onAppend(const AppendResult& result, MonotonicTime now)
{
    if (const auto* failure = std::get_if<LogFailure>(&result)) {
        m_lastFailure = *failure;
        if (failure->error == LogError::Refused)
            return giveUp();
        m_mayBeAppended = m_mayBeAppended || failure->error != LogError::Unavailable;
        // The log is read before the record is appended again, since the first append may have taken effect.
        m_step = Step::Reading;
        return retry(now);
    }
    m_backoff.reset();
    m_mayBeAppended = true;
    m_step = Step::Confirming;
    return read();
}

PublishCommand Publisher::onTimer(MonotonicTime now)
{
    return now >= m_giveUpAt ? giveUp() : read();
}

PublishCommand Publisher::read() const
{
    const auto wait = m_step == Step::Confirming ? m_options.readWait : std::chrono::milliseconds { 0 };
    return ReadLog { m_log.nextRead(), wait, recordsPerRead };
}

// Every append has the same bytes, so repeated appends are recognized as one record.
PublishCommand Publisher::append()
{
    return m_bytes.empty() ? makeRecord() : AppendRecord { m_bytes };
}

PublishCommand Publisher::makeRecord()
{
    if (auto faults = checkRequest())
        return Finish { CheckFailed { *std::move(faults) } };
    const auto record = sign(PublishRecord { m_request.id, m_request.member, m_log.base(), m_request.changes, {} }, m_key);
    if (!verify(record, m_keys))
        return Finish { WrongKey {} };
    m_bytes = encodeRecord(record);
    if (m_bytes.size() > bounds::recordBytes) {
        Fault fault;
        fault.kind = FaultKind::BoundExceeded;
        fault.value = "bytes of the record";
        return Finish { CheckFailed { { std::move(fault) } } };
    }
    return AppendRecord { m_bytes };
}

// Detects a batch that does not continue after the last applied record. An immediate retry would give the same answer.
bool Publisher::hasGap(const LogBatch& batch, const std::vector<AppliedRecord>& applied) const
{
    return m_log.state() == FollowerState::Replaying && !batch.records.empty() && applied.empty() && batch.records.front().offset > m_log.nextRead();
}

PublishCommand Publisher::retry(MonotonicTime now)
{
    if (now >= m_giveUpAt)
        return giveUp();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_giveUpAt - now);
    return WaitFor { std::min(left, m_backoff.next(m_random)) };
}

PublishCommand Publisher::giveUp() const
{
    if (m_mayBeAppended)
        return Finish { ResultUnknown { m_request.id } };
    return Finish { NotPublished { m_lastFailure } };
}

PublishCommand Publisher::afterApplying(MonotonicTime now)
{
    if (m_log.state() == FollowerState::NoCheckpoint)
        return m_mayBeAppended ? retry(now) : Finish { NoCheckpoint {} };
    if (!m_log.caughtUp())
        return read();
    if (auto remembered = rememberedResult())
        return Finish { *std::move(remembered) };
    return m_step == Step::Confirming ? read() : append();
}

std::optional<PublishResult> Publisher::findResult(const std::vector<AppliedRecord>& applied) const
{
    for (const auto& it : applied) {
        if (auto result = std::visit(ResultFinder { m_request, it.offset }, it.outcome))
            return result;
    }
    return std::nullopt;
}

// If the record is found before this run has appended it, an earlier run with the same id has published it.
PublishResult Publisher::asResultOfThisRun(PublishResult result) const
{
    const auto* published = std::get_if<Published>(&result);
    if (!published || !m_bytes.empty())
        return result;
    return PublishedBefore { published->stamp.offset };
}

std::optional<PublishResult> Publisher::rememberedResult() const
{
    const auto* remembered = m_log.find(m_request.member, m_request.id);
    if (!remembered)
        return std::nullopt;
    if (remembered->accepted)
        return PublishedBefore { remembered->at };
    return PublishRejected { remembered->at, {} };
}

std::optional<Faults> Publisher::checkRequest() const
{
    const auto current = m_log.current();
    auto faults = checkChanges(current ? current->set : ConfigurationSet {}, m_request.member, m_request.changes);
    return faults.empty() ? std::nullopt : std::optional { std::move(faults) };
}

}
