#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Endpoint.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <optional>

namespace carobpath::distribution {

/// Decides when this node fetches the whole state from a peer: one fetch at a time, with full jitter after a failure,
/// and only once a delta had time to arrive.
class WholeFetch {
public:
    /// Time that a pushed delta has before the whole set is fetched in its place.
    static constexpr std::chrono::milliseconds s_deltaGrace { 500 };
    static constexpr std::chrono::milliseconds s_backoffBase { 200 };
    static constexpr std::chrono::milliseconds s_backoffCap { 8000 };

    /// A peer holds something newer than this node.
    /// \param deltaExpected whether a delta is likely on its way.
    void want(const Endpoint& peer, bool deltaExpected, MonotonicTime now);
    /// Nothing is missing any more.
    void satisfied();
    /// \returns the peer to fetch from, where a fetch is due; it is then running.
    std::optional<Endpoint> start(MonotonicTime now);
    /// The running fetch ended; after a failure the next one waits.
    void onEnded(bool succeeded, MonotonicTime now, std::mt19937_64&);
    bool running() const { return m_running; }

private:
    std::optional<Endpoint> m_peer;
    MonotonicTime m_notBefore;
    MonotonicTime m_backoffUntil;
    bool m_running = false;
    Backoff m_backoff { s_backoffBase, s_backoffCap };
};

}
