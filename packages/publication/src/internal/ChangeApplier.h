#pragma once

#include "carobpath/publication/Fault.h"
#include "carobpath/publication/Record.h"
#include "carobpath/publication/ReplicatedState.h"

#include <set>

namespace carobpath::publication::Detail {

/// Applies the changes of one publish record to a copy of the set and collects all faults.
class ChangeApplier {
public:
    ChangeApplier(ConfigurationSet base, const std::deque<RememberedDeletion>& deletions, const PublishRecord& record, Offset offset)
        : m_set(std::move(base))
        , m_deletions(deletions)
        , m_record(record)
        , m_offset(offset)
    {
    }

    /// Applies all changes. If there are faults, the resulting set must not be used.
    void apply();

    const Faults& faults() const { return m_faults; }
    ConfigurationSet takeSet() { return std::move(m_set); }

private:
    void checkUnique();
    void put(const PutService&);
    void put(const PutRoute&);
    void put(const PutVersion&);
    void put(const PutMove&);
    void put(const DeleteObject&);

    template <typename Object, typename Map>
    bool mayPut(const Object&, const Map&);
    template <typename Map, typename Name>
    void erase(Map&, const Name&);
    void eraseMove(const MoveName&);
    void withdrawMovesOf(const ServiceName&, const MoveName& by);
    void removeMovesWithoutService();
    void checkNotStale(const ObjectRef&, Offset changedAt);
    void checkNotDeletedSince(const ObjectRef&);
    void add(FaultKind, const ObjectRef&, ObjectField = ObjectField::None, std::optional<ObjectRef> related = {}, Offset changedAt = 0);

    ConfigurationSet m_set;
    const std::deque<RememberedDeletion>& m_deletions;
    const PublishRecord& m_record;
    Offset m_offset;
    Faults m_faults;
    bool m_hasForeignObject = false;
};

/// Removes the oldest ended moves of a service beyond \c bounds::endedMovesPerService.
void trimEndedMoves(ConfigurationSet&, const ServiceName&);

}
