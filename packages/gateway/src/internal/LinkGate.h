#pragma once

#include "carobpath/capacity/LinkPacer.h"
#include "carobpath/foundation/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>

namespace carobpath::gateway::Detail {

class LinkGate;

/// How an answer uses the instance's link.
struct LinkUse {
    /// Null where the answer does not leave by the link, or where the link is not known.
    LinkGate* gate = nullptr;
    /// Whether the pieces of the body wait for their turns.
    bool isPaced = false;
    std::optional<MonotonicTime> objective;
};

/// Gives the bodies of downloads their turns on the instance's link, as the pacer decides.
class LinkGate {
public:
    using BodyId = capacity::LinkPacer::BodyId;

    /// \param bytesPerSecond 0 where the link is not known.
    LinkGate(boost::asio::io_context&, double bytesPerSecond);

    bool isPacing() const { return m_pacer.isPacing(); }
    std::size_t pieceBytes() const { return m_pacer.pieceBytes(); }
    capacity::LinkLoad load() const { return m_pacer.load(MonotonicClock::now()); }
    /// Asks the system what receivers have acknowledged.
    void readAcknowledgements();

    LinkUse use(bool isDownload, std::optional<MonotonicTime> objective);
    /// A call came that is answered over the link.
    void onShortCall(MonotonicTime objective, MonotonicTime now);
    void onWritten(std::size_t bytes);

    /// \param unacknowledged tells how many bytes of the body's connection its receiver has not acknowledged; called until \c end.
    BodyId begin(std::optional<MonotonicTime> objective, std::function<std::size_t()> unacknowledged);
    /// Calls \c turn once the piece may be written, at once where there is room.
    void awaitTurn(BodyId, std::size_t bytes, std::function<void()> turn);
    void end(BodyId);

    /// Gives every turn at once from now on: this node is about to end.
    void stop();

private:
    void giveTurns();

    capacity::LinkPacer m_pacer;
    boost::asio::steady_timer m_timer;
    std::unordered_map<BodyId, std::function<void()>> m_turns;
    std::unordered_map<BodyId, std::function<std::size_t()>> m_unacknowledged;
    bool m_isStopped = false;
};

}
