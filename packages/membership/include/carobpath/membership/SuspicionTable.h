#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/MembershipUpdate.h"

#include <map>
#include <optional>

namespace carobpath::membership {

/// Tracks which observers suspect which nodes. A node is declared dead only after two observers have suspected the same
/// revision for some time; in a fleet of two nodes, one observer is enough.
class SuspicionTable {
public:
    /// Number of observers that must agree before a node is declared dead.
    static constexpr std::size_t s_observersNeeded = 2;
    /// Time between the agreement of the observers and the declaration of death, in which the subject can refute it.
    static constexpr std::chrono::milliseconds s_deadAfter { 4000 };
    /// Time after which a suspicion expires if its observer does not renew it.
    static constexpr std::chrono::milliseconds s_lifetime { 20000 };
    /// Maximum number of observers stored per subject.
    static constexpr std::size_t s_maxObservers = 8;

    /// Adds a suspicion. \returns whether it is new.
    bool add(const Suspicion&, MonotonicTime now);
    /// Removes an observer's suspicion of a subject.
    void withdraw(const NodeName& subject, const NodeName& observer);
    /// Removes all suspicions of a subject.
    void clear(const NodeName& subject);
    /// Removes all suspicions of an observer.
    void withdrawAll(const NodeName& observer);

    bool suspected(const NodeName& subject) const;
    /// \returns the revision that enough observers have suspected for long enough, if any.
    /// \param observersNeeded lower than \c s_observersNeeded in a fleet with fewer observers.
    std::optional<Revision> dueForDeath(const NodeName& subject, std::size_t observersNeeded, MonotonicTime now) const;
    std::vector<NodeName> subjects() const;
    /// Removes expired suspicions. \returns the subjects that are no longer suspected.
    std::vector<NodeName> expire(MonotonicTime now);

private:
    struct Observation {
        MonotonicTime since;
        MonotonicTime renewed;
    };
    struct Subject {
        Revision revision;
        std::map<NodeName, Observation> observers;
    };

    std::map<NodeName, Subject> m_subjects;
};

}
