#include "internal/ChangeApplier.h"

#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/SetCheck.h"

#include <algorithm>
#include <limits>

namespace carobpath::publication::Detail {

namespace {

    const Service& objectOf(const ServiceEntry& it) { return it.service; }
    const Route& objectOf(const RouteEntry& it) { return it.route; }
    const Version& objectOf(const VersionEntry& it) { return it.version; }
    const Move& objectOf(const MoveEntry& it) { return it.move; }

    MoveVerdict withdrawn(MoveReason reason)
    {
        MoveVerdict verdict;
        verdict.outcome = MoveOutcome::Withdrawn;
        verdict.reason = reason;
        return verdict;
    }

}

void ChangeApplier::apply()
{
    if (m_record.changes.empty())
        m_faults.push_back({ FaultKind::EmptyRecord, std::nullopt, ObjectField::None, std::nullopt, {}, 0 });
    if (m_record.changes.size() > bounds::changesPerRecord)
        m_faults.push_back({ FaultKind::BoundExceeded, std::nullopt, ObjectField::None, std::nullopt, "changes", 0 });
    checkUnique();
    // Moves are applied last: they start from the version that their service has after the other changes.
    for (const auto& change : m_record.changes) {
        if (!std::holds_alternative<PutMove>(change))
            std::visit([this](const auto& it) { put(it); }, change);
    }
    for (const auto& change : m_record.changes) {
        if (const auto* it = std::get_if<PutMove>(&change))
            put(*it);
    }
    removeMovesWithoutService();
    if (m_hasForeignObject)
        return;
    const auto setFaults = checkSet(m_set);
    m_faults.insert(m_faults.end(), setFaults.begin(), setFaults.end());
}

void ChangeApplier::checkUnique()
{
    std::set<ObjectRef> seen;
    for (const auto& change : m_record.changes) {
        const auto object = refOf(change);
        if (!seen.insert(object).second)
            add(FaultKind::DuplicateName, object, ObjectField::Name);
    }
}

void ChangeApplier::put(const PutService& change)
{
    if (!mayPut(change.service, m_set.services))
        return;
    auto& entry = m_set.services[change.service.name];
    if (entry.currentVersion.empty())
        entry.currentVersion = change.service.initialVersion;
    entry.service = change.service;
    entry.changedAt = m_offset;
}

void ChangeApplier::put(const PutRoute& change)
{
    if (mayPut(change.route, m_set.routes))
        m_set.routes.insert_or_assign(change.route.name, RouteEntry { change.route, m_offset });
}

void ChangeApplier::put(const PutVersion& change)
{
    if (mayPut(change.version, m_set.versions))
        m_set.versions.insert_or_assign(change.version.name, VersionEntry { change.version, m_offset });
}

void ChangeApplier::put(const PutMove& change)
{
    const auto& move = change.move;
    if (!mayPut(move, m_set.moves))
        return;
    const auto service = m_set.services.find(move.service);
    if (service != m_set.services.end()) {
        if (service->second.currentVersion == move.to)
            add(FaultKind::MoveToCurrent, refOf(move.name), ObjectField::To, refOf(move.to));
        if (service->second.service.member == m_record.member)
            withdrawMovesOf(move.service, move.name);
    }
    MoveEntry entry;
    entry.move = move;
    entry.from = service == m_set.services.end() ? VersionName {} : service->second.currentVersion;
    entry.publishedAt = m_offset;
    entry.changedAt = m_offset;
    m_set.moves.insert_or_assign(move.name, std::move(entry));
}

void ChangeApplier::put(const DeleteObject& change)
{
    switch (change.object.kind) {
    case ObjectKind::Service:
        return erase(m_set.services, ServiceName { change.object.name });
    case ObjectKind::Route:
        return erase(m_set.routes, RouteName { change.object.name });
    case ObjectKind::Version:
        return erase(m_set.versions, VersionName { change.object.name });
    case ObjectKind::Move:
        return eraseMove(MoveName { change.object.name });
    }
}

/// Checks the object in isolation, its owner and the base of the record. \returns whether the object is to be put: it differs
/// from the current one and belongs to the record's member.
template <typename Object, typename Map>
bool ChangeApplier::mayPut(const Object& object, const Map& map)
{
    const auto ref = refOf(object.name);
    const auto it = map.find(object.name);
    if (it != map.end() && objectOf(it->second) == object && object.member == m_record.member)
        return false;
    const bool isForeign = object.member != m_record.member || (it != map.end() && objectOf(it->second).member != m_record.member);
    if (isForeign) {
        add(FaultKind::ForeignObject, ref, ObjectField::Member);
        m_hasForeignObject = true;
        return false;
    }
    const auto faults = checkObject(object);
    m_faults.insert(m_faults.end(), faults.begin(), faults.end());
    if (it != map.end())
        checkNotStale(ref, it->second.changedAt);
    else
        checkNotDeletedSince(ref);
    return true;
}

template <typename Map, typename Name>
void ChangeApplier::erase(Map& map, const Name& name)
{
    const auto it = map.find(name);
    if (it == map.end())
        return add(FaultKind::UnknownObject, refOf(name));
    if (objectOf(it->second).member != m_record.member) {
        m_hasForeignObject = true;
        return add(FaultKind::ForeignObject, refOf(name));
    }
    checkNotStale(refOf(name), it->second.changedAt);
    map.erase(it);
}

// An unfinished move is kept as withdrawn, so that its result can be read; an ended one is removed.
void ChangeApplier::eraseMove(const MoveName& name)
{
    const auto it = m_set.moves.find(name);
    if (it == m_set.moves.end() || it->second.verdict || it->second.move.member != m_record.member)
        return erase(m_set.moves, name);
    checkNotStale(refOf(name), it->second.changedAt);
    it->second.verdict = withdrawn(MoveReason::None);
    it->second.changedAt = m_offset;
    trimEndedMoves(m_set, ServiceName { it->second.move.service });
}

void ChangeApplier::withdrawMovesOf(const ServiceName& service, const MoveName& by)
{
    for (auto& [name, entry] : m_set.moves) {
        if (entry.move.service != service || entry.verdict || name == by)
            continue;
        if (entry.publishedAt == m_offset)
            add(FaultKind::MoveConflict, refOf(by), ObjectField::Service, refOf(name));
        else
            checkNotStale(refOf(name), entry.changedAt);
        entry.verdict = withdrawn(MoveReason::Replaced);
        entry.changedAt = m_offset;
    }
    trimEndedMoves(m_set, service);
}

void ChangeApplier::removeMovesWithoutService()
{
    std::erase_if(m_set.moves, [this](const auto& it) {
        return it.second.verdict && !m_set.services.contains(it.second.move.service);
    });
}

void ChangeApplier::checkNotStale(const ObjectRef& object, Offset changedAt)
{
    if (changedAt >= m_record.base)
        add(FaultKind::StaleBase, object, ObjectField::None, std::nullopt, changedAt);
}

void ChangeApplier::checkNotDeletedSince(const ObjectRef& object)
{
    const auto it = std::find_if(m_deletions.rbegin(), m_deletions.rend(), [&](const auto& deletion) { return deletion.object == object; });
    if (it != m_deletions.rend())
        checkNotStale(object, it->at);
}

void ChangeApplier::add(FaultKind kind, const ObjectRef& object, ObjectField field, std::optional<ObjectRef> related, Offset changedAt)
{
    m_faults.push_back({ kind, object, field, std::move(related), {}, changedAt });
}

void trimEndedMoves(ConfigurationSet& set, const ServiceName& service)
{
    std::vector<const MoveEntry*> ended;
    for (const auto& [name, entry] : set.moves) {
        if (entry.move.service == service && entry.verdict)
            ended.push_back(&entry);
    }
    if (ended.size() <= bounds::endedMovesPerService)
        return;
    std::stable_sort(ended.begin(), ended.end(), [](const auto* a, const auto* b) { return a->changedAt < b->changedAt; });
    ended.resize(ended.size() - bounds::endedMovesPerService);
    std::vector<MoveName> names;
    names.reserve(ended.size());
    for (const auto* it : ended)
        names.push_back(it->move.name);
    for (const auto& name : names)
        set.moves.erase(name);
}

}

namespace carobpath::publication {

Faults checkChanges(const ConfigurationSet& base, const MemberName& member, const std::vector<Change>& changes)
{
    constexpr Offset afterAll = std::numeric_limits<Offset>::max();
    PublishRecord record;
    record.member = member;
    record.base = afterAll;
    record.changes = changes;
    const std::deque<RememberedDeletion> noDeletions;
    Detail::ChangeApplier applier { base, noDeletions, record, afterAll };
    applier.apply();
    auto faults = applier.faults();
    const auto set = applier.takeSet();
    if (faults.empty() && !fitsIntoSetBound(set, encode(set).size()))
        faults.push_back({ FaultKind::BoundExceeded, std::nullopt, ObjectField::None, std::nullopt, "bytes of the whole set", 0 });
    return faults;
}

}
