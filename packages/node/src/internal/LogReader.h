#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/publication/ConfigurationLogFollower.h"
#include "carobpath/publication/LogService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace carobpath::node::Detail {

/// What a reader of the log reports. All are called on the context's thread.
struct LogReaderHooks {
    std::function<void(const publication::AppliedRecord&)> onStep;
    /// The fold was started from a checkpoint.
    std::function<void(const publication::CheckpointMatched&)> onStart;
    /// Everything that the log had was folded; the set in force may be nullptr.
    std::function<void(const publication::ConfigurationPointer&)> onEnd;
    /// The log answers again, or answers no more.
    std::function<void(bool)> onAvailable;
};

/// Reads the configuration stream by long polls while it is enabled, and folds it. What was folded is kept while it is
/// disabled, so that a node which is a reader again goes on from there.
template <publication::LogService Log>
class LogReader : public std::enable_shared_from_this<LogReader<Log>> {
public:
    LogReader(boost::asio::io_context& context, Log& log, std::string stream, publication::TrustedKeys keys,
        std::chrono::milliseconds wait, LogReaderHooks hooks, std::mt19937_64 random)
        : m_log(log)
        , m_stream(std::move(stream))
        , m_follower(std::move(keys))
        , m_wait(wait)
        , m_hooks(std::move(hooks))
        , m_random(random)
        , m_retry(context)
    {
    }

    void setEnabled(bool enabled)
    {
        m_enabled = enabled;
        if (m_enabled && !m_reading)
            read();
    }

    /// Reads no more and reports nothing any more.
    void stop()
    {
        m_enabled = false;
        m_stopped = true;
        m_retry.cancel();
    }

    const publication::ConfigurationLogFollower& follower() const { return m_follower; }
    bool enabled() const { return m_enabled; }

private:
    static constexpr std::size_t s_batchRecords = 256;
    static constexpr std::chrono::milliseconds s_retryBase { 100 };
    static constexpr std::chrono::milliseconds s_retryCap { 5'000 };

    void read()
    {
        m_reading = true;
        // A reader that is behind does not wait for news.
        const auto wait = m_follower.caughtUp() ? m_wait : std::chrono::milliseconds { 0 };
        m_log.read(m_stream, m_follower.nextRead(), wait, s_batchRecords, [self = this->shared_from_this()](publication::ReadResult result) {
            self->m_reading = false;
            if (!self->m_stopped)
                self->onResult(std::move(result));
        });
    }

    void onResult(publication::ReadResult result)
    {
        if (std::holds_alternative<publication::LogFailure>(result)) {
            onFailure();
            return;
        }
        onAnswer();
        if (const auto* trimmed = std::get_if<publication::Trimmed>(&result))
            m_follower.onTrimmed(*trimmed);
        else
            onBatch(std::get<publication::LogBatch>(result));
        if (m_enabled)
            pauseIfStuck();
    }

    void onBatch(const publication::LogBatch& batch)
    {
        const auto steps = m_follower.onBatch(batch);
        if (const auto start = m_follower.takeStartCheckpoint())
            m_hooks.onStart(*start);
        for (const auto& step : steps)
            m_hooks.onStep(step);
        if (m_follower.caughtUp())
            m_hooks.onEnd(m_follower.current());
    }

    void onAnswer()
    {
        m_backoff.reset();
        if (!std::exchange(m_available, true))
            m_hooks.onAvailable(true);
    }

    void onFailure()
    {
        if (std::exchange(m_available, false))
            m_hooks.onAvailable(false);
        readAfter(m_backoff.next(m_random));
    }

    /// A log without a usable checkpoint is asked again, but not at once.
    void pauseIfStuck()
    {
        if (m_follower.state() == publication::FollowerState::NoCheckpoint)
            readAfter(s_retryCap);
        else
            read();
    }

    void readAfter(std::chrono::milliseconds pause)
    {
        m_reading = true;
        m_retry.expires_after(pause);
        m_retry.async_wait([self = this->shared_from_this()](boost::system::error_code ec) {
            self->m_reading = false;
            if (!ec && self->m_enabled)
                self->read();
        });
    }

    Log& m_log;
    std::string m_stream;
    publication::ConfigurationLogFollower m_follower;
    std::chrono::milliseconds m_wait;
    LogReaderHooks m_hooks;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_retry;
    Backoff m_backoff { s_retryBase, s_retryCap };
    bool m_available = true;
    bool m_enabled = false;
    bool m_reading = false;
    bool m_stopped = false;
};

}
