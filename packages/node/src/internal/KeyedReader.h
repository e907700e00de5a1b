#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/KeyedFollower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace carobpath::node::Detail {

/// What a reader of a keyed stream reports. All are called on the context's thread.
struct KeyedReaderHooks {
    /// \returns whether the record can be used; if not, the one of its key before it is reported, where there is one.
    std::function<bool(const publication::KeyedRecord&)> onRecord;
    /// Everything that the stream held was reported.
    std::function<void()> onEnd;
    /// The store answers again, or answers no more; with the failure.
    std::function<void(bool available, const publication::LogFailure&)> onAvailable;
};

/// Follows a keyed stream by long polls.
template <publication::KeyedStore Store>
class KeyedReader : public std::enable_shared_from_this<KeyedReader<Store>> {
public:
    KeyedReader(boost::asio::io_context& context, Store& store, std::string stream, std::chrono::milliseconds wait, KeyedReaderHooks hooks, std::mt19937_64 random)
        : m_store(store)
        , m_stream(std::move(stream))
        , m_wait(wait)
        , m_hooks(std::move(hooks))
        , m_random(random)
        , m_retry(context)
    {
    }

    void start() { read(); }

    /// \returns the time since the store last answered a read of the stream; nothing before the first answer.
    std::optional<std::chrono::milliseconds> answerAge(MonotonicTime now) const
    {
        if (!m_answeredAt)
            return std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_answeredAt);
    }

    /// Reads no more and reports nothing any more.
    void stop()
    {
        m_stopped = true;
        m_retry.cancel();
    }

private:
    static constexpr std::chrono::milliseconds s_retryBase { 200 };
    static constexpr std::chrono::milliseconds s_retryCap { 1'500 };
    /// Pause after news, so that changes in quick succession are read together.
    static constexpr std::chrono::milliseconds s_newsPause { 1'000 };

    void read()
    {
        auto handler = [self = this->shared_from_this()](publication::KeyedResult result) {
            if (!self->m_stopped)
                self->onResult(std::move(result));
        };
        if (m_follower.needsListing())
            m_store.listNewest(m_stream, std::move(handler));
        else
            m_store.readKeyed(m_stream, m_follower.nextRead(), m_wait, std::move(handler));
    }

    void onResult(publication::KeyedResult result)
    {
        if (const auto* failure = std::get_if<publication::LogFailure>(&result)) {
            onFailure(*failure);
            return;
        }
        m_backoff.reset();
        m_answeredAt = MonotonicClock::now();
        if (!std::exchange(m_available, true))
            m_hooks.onAvailable(true, {});
        if (std::holds_alternative<publication::Trimmed>(result)) {
            m_follower.onTrimmed();
            read();
            return;
        }
        report(std::get<publication::KeyedBatch>(result));
        if (m_stopped)
            return;
        if (m_follower.shouldPause())
            readAfter(s_newsPause);
        else
            read();
    }

    void readAfter(std::chrono::milliseconds pause)
    {
        m_retry.expires_after(pause);
        m_retry.async_wait([self = this->shared_from_this()](boost::system::error_code ec) {
            if (!ec && !self->m_stopped)
                self->read();
        });
    }

    void report(const publication::KeyedBatch& batch)
    {
        for (const auto& news : m_follower.onBatch(batch)) {
            const bool isUsed = std::any_of(news.begin(), news.end(), [this](const publication::KeyedRecord& it) { return m_hooks.onRecord(it); });
            if (!isUsed)
                m_follower.onRefused(news);
        }
        m_hooks.onEnd();
    }

    void onFailure(const publication::LogFailure& failure)
    {
        // A read that timed out where nothing was due may have met a connection that fell silent.
        m_follower.onInterrupted();
        if (std::exchange(m_available, false))
            m_hooks.onAvailable(false, failure);
        readAfter(m_backoff.next(m_random));
    }

    Store& m_store;
    std::string m_stream;
    publication::KeyedFollower m_follower;
    std::chrono::milliseconds m_wait;
    KeyedReaderHooks m_hooks;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_retry;
    Backoff m_backoff { s_retryBase, s_retryCap };
    std::optional<MonotonicTime> m_answeredAt;
    bool m_available = true;
    bool m_stopped = false;
};

}
