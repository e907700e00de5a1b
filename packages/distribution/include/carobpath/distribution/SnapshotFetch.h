#pragma once

#include "carobpath/distribution/PeerMessage.h"
#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Endpoint.h"

#include <chrono>
#include <optional>

namespace carobpath::distribution {

/// A peer with newer state than this node.
struct FetchSource {
    Endpoint peer;
    FetchScope scope = FetchScope::All;
    /// Whether the peer is in the local failure domain.
    bool isLocal = false;
};

/// Decides when this node fetches a snapshot from a peer: one fetch at a time, with full jitter after a failure, and only
/// after the missing state had time to arrive by other means. Peers in the local failure domain are preferred.
class SnapshotFetch {
public:
    static constexpr std::chrono::milliseconds s_backoffBase { 200 };
    static constexpr std::chrono::milliseconds s_backoffCap { 8000 };

    /// Requests a fetch from a peer with newer state.
    /// \param grace time to wait for the state to arrive by other means.
    void request(const FetchSource&, std::chrono::milliseconds grace, MonotonicTime now);
    /// Cancels the pending request and resets the backoff, since no state is missing.
    void clear();
    /// \returns the peer to fetch from if a fetch is due. The fetch then counts as running.
    std::optional<FetchSource> start(MonotonicTime now);
    /// Reports the end of the running fetch. After a failure, the next fetch is delayed.
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
