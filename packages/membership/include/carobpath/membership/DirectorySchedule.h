#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstddef>
#include <optional>
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
/// together they find each other. A node without live peers lists again soon. Otherwise it lists rarely, and the more rarely
/// the larger the fleet is: to merge partitions that never knew each other, one node of either has to list. Intervals are randomized and failures are retried with a backoff, to
/// limit the load if all nodes start at once or the store is unavailable to some of them.
class DirectorySchedule {
public:
    static constexpr std::chrono::milliseconds s_isolatedInterval { 1'000 };
    static constexpr std::chrono::milliseconds s_steadyInterval { 20'000 };
    /// Interval between two listings of the fleet, whatever its size. Where it is longer for one node than
    /// \c s_steadyInterval, it replaces that one.
    static constexpr std::chrono::milliseconds s_fleetInterval { 1'000 };
    /// Interval between two nodes that look after their entries once the store may have lost some.
    static constexpr std::chrono::milliseconds s_recoveryInterval { 20 };
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
    /// \param isSelfListed whether the listing had the node's own entry. If not, the store lost it, and it is written again.
    void onListed(bool isSelfListed, MonotonicTime now);
    /// Reports that the store may have lost entries. The directory is listed soon, spread over a time that grows with the fleet.
    void onEntriesLost(MonotonicTime now);
    void onFailed(MonotonicTime now);
    /// Reports the number of other nodes that are considered alive.
    void onLivePeersChanged(std::size_t alive, MonotonicTime now);

private:
    MonotonicTime dueAt() const;
    void beginSteadyInterval(MonotonicTime now);
    MonotonicTime recoveryTime(MonotonicTime now);
    std::chrono::milliseconds steadyInterval() const;
    double drawFraction();

    std::mt19937_64 m_random;
    Backoff m_backoff { s_initialRetryDelay, s_maxRetryDelay };
    MonotonicTime m_dueAt;
    /// Set while the node has peers and its last step succeeded. The interval from then on follows the fleet's size.
    std::optional<MonotonicTime> m_steadySince;
    double m_steadyFraction = 1;
    std::size_t m_alive = 0;
    bool m_registered = false;
    bool m_running = false;
    /// The step that is running began before the store lost entries.
    bool m_isListingStale = false;
};

}
