#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ReadWatchdog.h"
#include "carobpath/publication/StoreEra.h"

#include <chrono>
#include <optional>
#include <random>

namespace carobpath::publication {

/// Decides when a reader of a stream reads again after an answer with news, and how long it leaves new records to the nodes that
/// have read them and forward what they changed. Answers a load that all readers put on one store and each on its own link.
/// The class does no I/O and reads no clock.
class ReadPacer {
public:
    /// Bounds of the time between two answers with news, so that changes in quick succession are read together. Each node draws
    /// its own time: then one of those that poll waits at the store again soon. The time counts from the moment an answer was
    /// made: one that took long on its way is that old already.
    static constexpr std::chrono::milliseconds s_shortestInterval { 100 };
    static constexpr std::chrono::milliseconds s_longestInterval { 1'000 };
    /// Shortest pause before a read of records that were not forwarded.
    static constexpr std::chrono::milliseconds s_shortestPause { 300 };
    /// Time within which a record that is known to exist is forwarded.
    static constexpr std::chrono::milliseconds s_forwardTimeout { 120 };
    /// Time within which what was forwarded is in force.
    static constexpr std::chrono::milliseconds s_activationTimeout { 800 };

    explicit ReadPacer(std::mt19937_64 random)
        : m_random(random)
    {
    }

    /// A read was sent, which ends the pause.
    void onReadSent(ReadKind, MonotonicTime now);
    void onAnswerBegun(MonotonicTime now);
    /// The answer held news, and a pause begins.
    /// \returns its time.
    std::chrono::milliseconds onNews(MonotonicTime now);
    /// A pause without end begins: the next read is due once another node tells of news.
    void onIdle(MonotonicTime now);
    /// A failed read is repeated after a time of its own.
    void onRetry();

    /// The stream was read up to this position, or the records before it need not be read.
    void onPosition(StreamPosition, MonotonicTime now);
    /// The stream is known to reach this end.
    void onEndKnown(StreamPosition, MonotonicTime now);
    /// Another node has forwarded what the records up to this end changed, and it will be in force soon.
    void onForwarded(StreamPosition end);

    bool isPaused() const { return m_pausedAt.has_value(); }
    bool isIdle() const { return m_isIdle; }
    /// \returns whether records are known to exist that were not read.
    bool isBehind() const { return m_behindSince.has_value(); }
    /// \returns for how long that is so since the position last moved; empty if it is not.
    std::optional<std::chrono::milliseconds> behindFor(MonotonicTime now) const;

    /// \returns whether all that is known to be new was forwarded and may still come into force.
    bool awaitsActivation(MonotonicTime now) const;
    /// \returns whether the pause ends now, since records are known to exist that were not forwarded.
    bool isReadDue(MonotonicTime now) const;

private:
    /// \returns a pause that leaves at least as much time for calls, and for other readers, as the last read took.
    std::chrono::milliseconds shortestPause() const;

    std::mt19937_64 m_random;
    /// When the store was ready to make the last answer, as far as it is known: an immediate read is answered as it is sent.
    MonotonicTime m_answerMadeAt;
    ReadKind m_kind = ReadKind::Immediate;
    std::chrono::milliseconds m_lastReadTook {};
    /// Empty unless the reader pauses.
    std::optional<MonotonicTime> m_pausedAt;
    bool m_isIdle = false;

    StreamPosition m_position;
    StreamPosition m_knownEnd;
    StreamPosition m_forwardedEnd;
    /// Since when records are known to exist that were not read; begins anew where the position moves, and not with each new end.
    std::optional<MonotonicTime> m_behindSince;
};

}
