#pragma once

#include "carobpath/capacity/RecentMinimum.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace carobpath::capacity {

/// How busy a link is.
struct LinkLoad {
    /// Time until the link has sent what was handed to the system.
    std::chrono::nanoseconds backlog {};
    /// Bodies that wait for their turn.
    std::size_t waiting = 0;
    /// Bytes of paced bodies that were handed to the system and not acknowledged by their receivers.
    std::size_t unacknowledgedBytes = 0;
};

/// Decides when a piece of a large body may be handed to the system. What was handed over cannot be overtaken, so that
/// all later answers wait behind it: a piece is held back while the most urgent call of the link cannot bear that wait.
///
/// Two bounds hold: what was written is not more than the link sends by its stated rate, and what receivers have not acknowledged of
/// large bodies is not more than the link sends in the time of that wait. The second holds whatever else passes over the link, and
/// whatever it carries.
class LinkPacer {
public:
    using BodyId = std::uint64_t;

    /// Part of the link's bytes that is left for payload beside the headers of full packets.
    static constexpr double s_payloadShare = 0.95;
    /// Part of a call's time that it may wait at this link; its request and the calls below it meet other links.
    static constexpr double s_waitFraction = 1.0 / 8;
    /// Bounds of the wait: late timers must not leave the link idle.
    static constexpr std::chrono::milliseconds s_minBacklog { 10 };
    static constexpr std::chrono::milliseconds s_maxBacklog { 100 };
    /// Time of the link that one piece takes.
    static constexpr std::chrono::milliseconds s_pieceTime { 4 };
    /// For how long a call counts after it came.
    static constexpr std::chrono::seconds s_callMemory { 2 };
    /// Shortest time after which acknowledgements are looked at again.
    static constexpr std::chrono::milliseconds s_checkInterval { 4 };
    /// Bytes of a body that makes no progress for longer wait for its receiver and not for the link.
    static constexpr std::chrono::milliseconds s_stall { 200 };
    /// A body that waited longer goes first, so that no receiver takes it for lost.
    static constexpr std::chrono::milliseconds s_maxTurnWait { 200 };

    /// \param bytesPerSecond 0 for a link that is not known, which is not paced.
    explicit LinkPacer(double bytesPerSecond);

    bool isPacing() const { return m_bytesPerSecond > 0; }
    /// \returns the largest piece for which a turn may be asked.
    std::size_t pieceBytes() const;

    /// A call came whose answer is short.
    /// \param timeLeft time to its objective; those that have passed do not count.
    void onShortCall(std::chrono::nanoseconds timeLeft, MonotonicTime now);
    /// Bytes were handed to the system without a turn.
    void onWritten(std::size_t bytes, MonotonicTime now);

    BodyId addBody(std::optional<MonotonicTime> objective);
    void removeBody(BodyId);
    void askTurn(BodyId, std::size_t bytes, MonotonicTime now);
    /// \param bytes of the body's connection that its receiver has not acknowledged.
    void onUnacknowledged(BodyId, std::size_t bytes, MonotonicTime now);
    /// \returns the body whose piece is to be written now, which is counted as written.
    std::optional<BodyId> takeTurn(MonotonicTime now);
    /// \returns when the next turn may be taken, or acknowledgements are to be looked at again; nothing if no body waits.
    std::optional<MonotonicTime> nextTurn(MonotonicTime now) const;

    /// \returns up to which backlog pieces may be written.
    std::chrono::nanoseconds maxBacklog(MonotonicTime now) const;
    LinkLoad load(MonotonicTime now) const;

private:
    /// A piece that waits for its turn.
    struct Asked {
        std::size_t bytes = 0;
        MonotonicTime at;
    };

    struct Body {
        std::optional<MonotonicTime> objective;
        /// Bytes written, counted from the least of the bodies that were there before.
        std::size_t bytes = 0;
        std::optional<Asked> asked;
        std::size_t unacknowledgedBytes = 0;
        /// When bytes were acknowledged last, or the first of them written.
        MonotonicTime progressAt;
    };

    using Bodies = std::map<BodyId, Body>;

    Bodies::const_iterator nextBody(MonotonicTime now) const;
    static bool isStalled(const Body&, MonotonicTime now);
    static bool goesBefore(const Body& first, const Body& second, MonotonicTime now);
    std::chrono::nanoseconds transferTime(std::size_t bytes) const;
    std::chrono::nanoseconds backlog(MonotonicTime now) const;

    double m_bytesPerSecond;
    RecentMinimum m_shortestTime { s_callMemory };
    /// When the link has sent what was written, by its stated rate.
    MonotonicTime m_busyUntil {};
    Bodies m_bodies;
    BodyId m_lastBody = 0;
};

}
