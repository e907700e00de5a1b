#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/MembershipUpdate.h"

#include <map>
#include <optional>

namespace carobpath::membership {

/// Who suspects whom. A node is dead only after several observers have suspected the same revision for a while.
class SuspicionTable {
public:
    /// Observers that must agree before a node is declared dead.
    static constexpr std::size_t s_observersNeeded = 2;
    /// Time from the agreement of the observers to death; the subject refutes in it.
    static constexpr std::chrono::milliseconds s_deadAfter { 4000 };
    /// Time after which a suspicion that nobody renewed is forgotten.
    static constexpr std::chrono::milliseconds s_lifetime { 20000 };
    /// Observers kept for one subject.
    static constexpr std::size_t s_maxObservers = 8;

    /// Adds a suspicion. \returns whether it is news.
    bool add(const Suspicion&, MonotonicTime now);
    /// Forgets what one observer held of a subject.
    void withdraw(const NodeName& subject, const NodeName& observer);
    /// Forgets all that is held of a subject.
    void clear(const NodeName& subject);
    /// Forgets every suspicion of one observer.
    void withdrawAll(const NodeName& observer);

    bool suspected(const NodeName& subject) const;
    /// \returns the revision that enough observers have suspected for long enough, if any.
    /// \param observersNeeded lower than the constant in a fleet that has not that many observers.
    std::optional<Revision> dueForDeath(const NodeName& subject, std::size_t observersNeeded, MonotonicTime now) const;
    std::vector<NodeName> subjects() const;
    /// Forgets what expired. \returns the subjects that are no longer suspected.
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
