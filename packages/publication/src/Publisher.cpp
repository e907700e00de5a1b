#include "carobpath/publication/Publisher.h"

#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/SetCheck.h"

#include <algorithm>

namespace carobpath::publication {

namespace {

    constexpr std::size_t recordsPerRead = 256;

    /// What a folded record says about the record with the id.
    struct ResultOf {
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
    , m_backoff(options.firstRetry, options.longestRetry)
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
    const auto folded = m_log.onBatch(batch);
    if (auto own = resultIn(folded))
        return Finish { ofThisRun(*std::move(own)) };
    if (now >= m_giveUpAt)
        return giveUp();
    if (hasGap(batch, folded))
        return retry(now);
    return afterFolding(now);
}

PublishCommand Publisher::onAppend(const AppendResult& result, MonotonicTime now)
{
    if (const auto* failure = std::get_if<LogFailure>(&result)) {
        m_lastFailure = *failure;
        if (failure->error == LogError::Refused)
            return giveUp();
        m_mayBeAppended = m_mayBeAppended || failure->error != LogError::Unavailable;
        // Before the record is appended again, the log is read: the first append may be there already.
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

// Every append carries the same bytes, so that it is one record however often it is made.
PublishCommand Publisher::append()
{
    return m_bytes.empty() ? makeRecord() : AppendRecord { m_bytes };
}

PublishCommand Publisher::makeRecord()
{
    if (auto faults = faultsOfCheck())
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

// Records that don't go on from the last one folded; reading again at once would bring the same.
bool Publisher::hasGap(const LogBatch& batch, const std::vector<AppliedRecord>& folded) const
{
    return m_log.state() == FollowerState::Replaying && !batch.records.empty() && folded.empty() && batch.records.front().offset > m_log.nextRead();
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

PublishCommand Publisher::afterFolding(MonotonicTime now)
{
    if (m_log.state() == FollowerState::NoCheckpoint)
        return m_mayBeAppended ? retry(now) : Finish { NoCheckpoint {} };
    if (!m_log.caughtUp())
        return read();
    if (auto remembered = rememberedResult())
        return Finish { *std::move(remembered) };
    return m_step == Step::Confirming ? read() : append();
}

std::optional<PublishResult> Publisher::resultIn(const std::vector<AppliedRecord>& folded) const
{
    for (const auto& it : folded) {
        if (auto result = std::visit(ResultOf { m_request, it.offset }, it.outcome))
            return result;
    }
    return std::nullopt;
}

// A record that is there before this run appended one comes from an earlier run with the same id.
PublishResult Publisher::ofThisRun(PublishResult result) const
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

std::optional<Faults> Publisher::faultsOfCheck() const
{
    const auto current = m_log.current();
    auto faults = checkChanges(current ? current->set : ConfigurationSet {}, m_request.member, m_request.changes);
    return faults.empty() ? std::nullopt : std::optional { std::move(faults) };
}

}
