#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <random>

namespace carobpath::membership {

/// What a node does next at the directory, the list of nodes that the platform's store keeps.
enum class DirectoryStep : std::uint8_t {
    Nothing,
    /// Write the node's own entry.
    Register,
    /// Read the entries of all nodes.
    List,
};

/// Decides when a node writes its entry to the directory and when it reads the others'. It registers first: of nodes that
/// start at one moment, each sees all that registered before it, so that together they find each other. It lists again
/// soon while it knows no other node, and seldom afterwards, which joins halves of a fleet that never met.
/// Answers loads where all nodes start at once, and where the store is away for some of them.
class DirectorySchedule {
public:
    static constexpr std::chrono::milliseconds s_loneInterval { 1'000 };
    static constexpr std::chrono::milliseconds s_settledInterval { 20'000 };
    static constexpr std::chrono::milliseconds s_firstRetry { 200 };
    static constexpr std::chrono::milliseconds s_longestRetry { 2'000 };

    DirectorySchedule(std::mt19937_64 random, MonotonicTime now)
        : m_random(random)
        , m_dueAt(now)
    {
    }

    /// \returns the step that is due; it counts as begun until it is reported as done or failed.
    DirectoryStep next(MonotonicTime now);
    void onRegistered(MonotonicTime now);
    void onListed(MonotonicTime now);
    void onFailed(MonotonicTime now);
    /// The other nodes that this node holds alive.
    void onLivePeersChanged(std::size_t alive, MonotonicTime now);

private:
    std::chrono::milliseconds spread(std::chrono::milliseconds);

    std::mt19937_64 m_random;
    Backoff m_backoff { s_firstRetry, s_longestRetry };
    MonotonicTime m_dueAt;
    bool m_registered = false;
    bool m_running = false;
    bool m_alone = true;
};

}
