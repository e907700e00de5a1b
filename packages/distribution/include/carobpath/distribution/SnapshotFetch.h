#pragma once

#include "carobpath/distribution/PeerMessage.h"
#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Endpoint.h"

#include <chrono>
#include <optional>

namespace carobpath::distribution {

/// A peer that holds what this node lacks.
struct FetchSource {
    Endpoint peer;
    FetchScope scope = FetchScope::All;
    /// Whether it is in this node's failure domain.
    bool isNear = false;
};

/// Decides when this node fetches the whole state from a peer: one fetch at a time, with full jitter after a failure,
/// and only once what is missing had time to arrive in another way. A peer in the own failure domain goes first.
class SnapshotFetch {
public:
    static constexpr std::chrono::milliseconds s_backoffBase { 200 };
    static constexpr std::chrono::milliseconds s_backoffCap { 8000 };

    /// A peer holds something newer than this node.
    /// \param grace time that it has to arrive in another way.
    void want(const FetchSource&, std::chrono::milliseconds grace, MonotonicTime now);
    /// Nothing is missing any more.
    void satisfied();
    /// \returns the peer to fetch from, where a fetch is due; it is then running.
    std::optional<FetchSource> start(MonotonicTime now);
    /// The running fetch ended; after a failure the next one waits.
    void onEnded(bool succeeded, MonotonicTime now, std::mt19937_64&);
    bool running() const { return m_running; }

private:
    std::optional<FetchSource> m_source;
    MonotonicTime m_notBefore;
    MonotonicTime m_backoffUntil;
    bool m_running = false;
    Backoff m_backoff { s_backoffBase, s_backoffCap };
};

}
