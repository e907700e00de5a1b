#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <random>

namespace carobpath::membership {

/// Next access of a node to the directory, the list of nodes in the platform's store.
enum class DirectoryStep : std::uint8_t {
    Nothing,
    /// Write the node's own entry.
    Register,
    /// Read the entries of all nodes.
    List,
};

/// Decides when a node writes its own entry to the directory and when it reads the entries of the others.
///
/// A node registers before it lists: if all nodes start at the same time, each sees those that registered before it, so
/// together they find each other. A node without live peers lists again soon. Otherwise it lists rarely, which still
/// merges partitions that never knew each other. Intervals are randomized and failures are retried with a backoff, to
/// limit the load if all nodes start at once or the store is unavailable to some of them.
class DirectorySchedule {
public:
    static constexpr std::chrono::milliseconds s_isolatedInterval { 1'000 };
    static constexpr std::chrono::milliseconds s_steadyInterval { 20'000 };
    static constexpr std::chrono::milliseconds s_initialRetryDelay { 200 };
    static constexpr std::chrono::milliseconds s_maxRetryDelay { 2'000 };

    DirectorySchedule(std::mt19937_64 random, MonotonicTime now)
        : m_random(random)
        , m_dueAt(now)
    {
    }

    /// \returns the step that is due. No other step is due until it is reported as completed or failed.
    DirectoryStep next(MonotonicTime now);
    void onRegistered(MonotonicTime now);
    void onListed(MonotonicTime now);
    void onFailed(MonotonicTime now);
    /// Reports the number of other nodes that are considered alive.
    void onLivePeersChanged(std::size_t alive, MonotonicTime now);

private:
    std::chrono::milliseconds jitter(std::chrono::milliseconds);

    std::mt19937_64 m_random;
    Backoff m_backoff { s_initialRetryDelay, s_maxRetryDelay };
    MonotonicTime m_dueAt;
    bool m_registered = false;
    bool m_running = false;
    bool m_isolated = true;
};

}
