#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/KeyedFollower.h"
#include "carobpath/publication/ReadPacer.h"
#include "carobpath/publication/ReadWatchdog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace carobpath::node::Detail {

/// A read that was given up before it was answered.
struct AbandonedRead {
    publication::StreamPosition from;
    /// The stream is known to reach this end.
    publication::StreamPosition knownEnd;
    /// Time since the read was sent.
    std::chrono::milliseconds open {};
};

/// A read that the store did not answer, or refused.
struct FailedRead {
    publication::ReadKind kind = publication::ReadKind::LongPoll;
    publication::LogFailure failure;
    /// Time since the read was sent.
    std::chrono::milliseconds open {};
};

/// A read whose answer is complete.
struct AnsweredRead {
    publication::ReadKind kind = publication::ReadKind::Immediate;
    /// Time since the read was sent.
    std::chrono::milliseconds open {};
    /// Time since its answer began to arrive; nothing for a listing.
    std::optional<std::chrono::milliseconds> arriving;
    /// Time since this node was told of records that it had not read; nothing if its own read was the first to tell.
    std::optional<std::chrono::milliseconds> behind;
};

/// What a reader reports of its reads of a stream.
struct StreamHooks {
    /// The stream was read up to this end.
    std::function<void(publication::StreamPosition end)> onPosition;
    /// A check told that the stream reaches this end.
    std::function<void(publication::StreamPosition end)> onEndChecked;
    std::function<void(const AbandonedRead&)> onReadAbandoned;
    std::function<void(const FailedRead&)> onReadFailed;
    /// An answer held entries that could not be read.
    std::function<void(std::size_t count)> onSkipped;
};

/// What a reader of a keyed stream reports. All are called on the context's thread.
struct KeyedReaderHooks {
    /// \returns whether the record can be used; if not, the one of its key before it is reported, where there is one.
    std::function<bool(const publication::KeyedRecord&)> onRecord;
    /// Everything that the stream held was reported.
    std::function<void()> onEnd;
    /// The store answers again, or answers no more; with the failure.
    std::function<void(bool available, const publication::LogFailure&)> onAvailable;
    StreamHooks stream;
};

/// Follows a keyed stream by long polls. \c onTick must be called several times a second.
template <publication::KeyedStore Store>
class KeyedReader : public std::enable_shared_from_this<KeyedReader<Store>> {
public:
    KeyedReader(boost::asio::io_context& context, Store& store, std::string stream, std::chrono::milliseconds wait, KeyedReaderHooks hooks, std::mt19937_64 random)
        : m_store(store)
        , m_stream(std::move(stream))
        , m_wait(wait)
        , m_hooks(std::move(hooks))
        , m_random(random)
        , m_watchdog(std::mt19937_64(m_random()))
        , m_pacer(std::mt19937_64(m_random()))
        , m_retry(context)
    {
    }

    void start() { read(); }

    /// Sets when this node asks for the end of the stream; nothing if it leaves that to others.
    void setCheckSchedule(const std::optional<publication::CheckSchedule>& schedule) { m_watchdog.setCheckSchedule(schedule, MonotonicClock::now()); }

    /// Sets the time in which a pending read must deliver a record that exists, see \c ReadWatchdog::deliveryTimeoutFor.
    void setDeliveryTimeout(std::chrono::milliseconds timeout) { m_watchdog.setDeliveryTimeout(timeout); }

    /// Sets whether this node waits for new records at the store. Otherwise it reads those that other nodes tell of and do not
    /// forward.
    void setPolling(bool polling)
    {
        m_isPolling = polling;
        if (m_isPolling && m_pacer.isIdle())
            read();
    }

    /// Another node knows that the stream reaches this end.
    void onEndKnown(publication::StreamPosition end)
    {
        const auto now = MonotonicClock::now();
        m_pacer.onEndKnown(end, now);
        m_watchdog.onEndKnown(end, now);
    }

    /// Another node has forwarded what these records changed, and it will be in force soon.
    void onForwarded(const publication::RecordSpan& span) { m_pacer.onForwarded({ span.era, span.end }); }

    /// What these records changed is in force, and all of them are of this key: they are not read if the position adjoins them.
    void skip(const std::string& key, const publication::RecordSpan& span)
    {
        if (!m_follower.skip(key, span))
            return;
        const auto now = MonotonicClock::now();
        m_watchdog.onSkippedTo(m_follower.position(), now);
        m_pacer.onPosition(m_follower.position(), now);
        if (m_pacer.isPaused())
            m_follower.onIdle();
    }

    /// \returns the records up to the position that are all of this key; empty if the last one is of another key.
    std::optional<publication::RecordSpan> spanOf(const std::string& key) const { return m_follower.spanOf(key); }

    /// The store has come back from a copy: the stream is listed again, at a random time soon.
    void onEra(publication::StoreEra era)
    {
        if (m_stopped || !m_follower.onEra(era))
            return;
        // The answer to the pending read may be of the new era, but its position is not.
        ++m_readNumber;
        m_watchdog.onReadAnswered();
        std::uniform_int_distribution<std::int64_t> spread { 0, s_eraSpread.count() };
        readAfter(std::chrono::milliseconds { spread(m_random) });
    }

    void onTick(MonotonicTime now)
    {
        if (m_stopped)
            return;
        if (m_pacer.awaitsActivation(now))
            return;
        if (m_pacer.isReadDue(now)) {
            m_retry.cancel();
            read();
            return;
        }
        switch (m_watchdog.next(now)) {
        case publication::ReadStep::ReadAgain:
            readAgain();
            break;
        case publication::ReadStep::CheckEnd:
            checkEnd();
            break;
        case publication::ReadStep::Wait:
            break;
        }
    }

    /// \returns the time since the store last answered a read of the stream; nothing before the first answer.
    std::optional<std::chrono::milliseconds> answerAge(MonotonicTime now) const
    {
        if (!m_answeredAt)
            return std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_answeredAt);
    }

    /// \returns the read whose records are being reported; to be called from \c KeyedReaderHooks::onRecord.
    AnsweredRead answeredRead() const
    {
        const auto now = MonotonicClock::now();
        AnsweredRead it { m_sentKind, openTime(), std::nullopt, m_pacer.behindFor(now) };
        if (m_begunAt)
            it.arriving = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_begunAt);
        return it;
    }

    /// \returns the position from which the stream is read on.
    publication::StreamPosition position() const { return m_follower.position(); }

    /// Reads no more and reports nothing any more.
    void stop()
    {
        m_stopped = true;
        m_retry.cancel();
    }

private:
    static constexpr std::chrono::milliseconds s_retryBase { 200 };
    static constexpr std::chrono::milliseconds s_retryCap { 1'500 };
    /// Listings of the nodes that notice a new era together are spread over this time.
    static constexpr std::chrono::milliseconds s_eraSpread { 500 };

    void read()
    {
        auto handler = [self = this->shared_from_this(), number = ++m_readNumber](publication::KeyedResult result) {
            if (!self->m_stopped && number == self->m_readNumber)
                self->onResult(std::move(result));
        };
        m_sentAt = MonotonicClock::now();
        const bool isImmediate = m_follower.needsListing() || m_follower.isReadingOmitted();
        m_sentKind = isImmediate ? publication::ReadKind::Immediate : publication::ReadKind::LongPoll;
        m_begunAt.reset();
        m_pacer.onReadSent(m_sentKind, m_sentAt);
        m_watchdog.onReadSent(m_sentKind, m_follower.position(), m_sentAt);
        if (m_follower.needsListing()) {
            m_store.listNewest(m_stream, std::move(handler));
            return;
        }
        auto onBegun = [self = this->shared_from_this(), number = m_readNumber] {
            if (number == self->m_readNumber)
                self->onAnswerBegun();
        };
        const auto wait = isImmediate ? std::chrono::milliseconds { 0 } : m_wait;
        m_store.readKeyed(m_stream, m_follower.nextRead(), wait, std::move(handler), std::move(onBegun));
    }

    void onAnswerBegun()
    {
        m_watchdog.onAnswerBegun();
        m_begunAt = MonotonicClock::now();
        m_pacer.onAnswerBegun(*m_begunAt);
    }

    void readAgain()
    {
        m_retry.cancel();
        m_hooks.stream.onReadAbandoned({ m_follower.position(), m_watchdog.knownEnd(), openTime() });
        m_follower.onInterrupted();
        // The read's connection may have fallen silent, and the idle ones with it.
        m_store.closeIdleConnections();
        read();
    }

    /// \returns the time since the last read was sent.
    std::chrono::milliseconds openTime() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicClock::now() - m_sentAt);
    }

    void checkEnd()
    {
        m_store.checkEnd(m_stream, m_follower.nextRead(), [self = this->shared_from_this()](const publication::EndResult& result) {
            if (self->m_stopped)
                return;
            const auto now = MonotonicClock::now();
            self->reportAvailable(result);
            if (const auto* failure = std::get_if<publication::LogFailure>(&result)) {
                self->m_watchdog.onCheckFailed(failure->status != 0, now);
                return;
            }
            const auto end = std::get<publication::StreamPosition>(result);
            self->m_watchdog.onCheckAnswered(end, now);
            self->m_hooks.stream.onEndChecked(end);
        });
    }

    template <typename Result>
    void reportAvailable(const Result& result)
    {
        const auto* failure = std::get_if<publication::LogFailure>(&result);
        if (std::exchange(m_available, !failure) == !failure)
            return;
        m_hooks.onAvailable(!failure, failure ? *failure : publication::LogFailure {});
    }

    void onResult(publication::KeyedResult result)
    {
        reportAvailable(result);
        if (const auto* failure = std::get_if<publication::LogFailure>(&result)) {
            onFailure(*failure);
            return;
        }
        m_backoff.reset();
        m_watchdog.onReadAnswered();
        m_answeredAt = MonotonicClock::now();
        if (std::holds_alternative<publication::Trimmed>(result)) {
            m_follower.onTrimmed();
            read();
            return;
        }
        const auto& batch = std::get<publication::KeyedBatch>(result);
        if (!m_follower.accepts(batch)) {
            m_follower.onEra(batch.era);
            m_follower.onInterrupted();
            read();
            return;
        }
        report(batch);
        if (m_stopped)
            return;
        if (!m_follower.shouldPause()) {
            readOrIdle();
            return;
        }
        const auto now = MonotonicClock::now();
        m_watchdog.onRecordsRead(now);
        pause(m_pacer.onNews(now));
    }

    void pause(std::chrono::milliseconds time)
    {
        m_retry.expires_after(time);
        m_retry.async_wait([self = this->shared_from_this()](boost::system::error_code ec) {
            if (!ec && !self->m_stopped)
                self->readOrIdle();
        });
    }

    /// Reads, unless other nodes will tell of what is new.
    void readOrIdle()
    {
        if (m_isPolling || m_pacer.isBehind() || m_follower.needsListing() || m_follower.isReadingOmitted())
            read();
        else
            m_pacer.onIdle(MonotonicClock::now());
    }

    void readAfter(std::chrono::milliseconds time)
    {
        m_pacer.onRetry();
        m_retry.expires_after(time);
        m_retry.async_wait([self = this->shared_from_this()](boost::system::error_code ec) {
            if (!ec && !self->m_stopped)
                self->read();
        });
    }

    void report(const publication::KeyedBatch& batch)
    {
        if (batch.skipped > 0)
            m_hooks.stream.onSkipped(batch.skipped);
        for (const auto& news : m_follower.onBatch(batch)) {
            const bool isUsed = std::any_of(news.begin(), news.end(), [this](const publication::KeyedRecord& it) { return m_hooks.onRecord(it); });
            if (!isUsed)
                m_follower.onRefused(news);
        }
        m_pacer.onPosition(m_follower.position(), MonotonicClock::now());
        m_hooks.stream.onPosition(m_follower.position());
        m_hooks.onEnd();
    }

    void onFailure(const publication::LogFailure& failure)
    {
        m_hooks.stream.onReadFailed({ m_sentKind, failure, openTime() });
        m_watchdog.onReadFailed(failure.error == publication::LogError::TimedOut);
        // A read that timed out where nothing was due may have met a connection that fell silent.
        m_follower.onInterrupted();
        readAfter(m_backoff.next(m_random));
    }

    Store& m_store;
    std::string m_stream;
    publication::KeyedFollower m_follower;
    std::chrono::milliseconds m_wait;
    KeyedReaderHooks m_hooks;
    std::mt19937_64 m_random;
    publication::ReadWatchdog m_watchdog;
    publication::ReadPacer m_pacer;
    /// An answer to any read but the last one is ignored.
    std::uint64_t m_readNumber = 0;
    boost::asio::steady_timer m_retry;
    Backoff m_backoff { s_retryBase, s_retryCap };
    MonotonicTime m_sentAt;
    /// When the answer to the last read began to arrive.
    std::optional<MonotonicTime> m_begunAt;
    publication::ReadKind m_sentKind = publication::ReadKind::Immediate;
    std::optional<MonotonicTime> m_answeredAt;
    bool m_isPolling = true;
    bool m_available = true;
    bool m_stopped = false;
};

}
