#pragma once

/// \file
/// Histories of competing operators, and the invariants that are checked after each record.

#include "Samples.h"
#include "carobpath/publication/ConfigurationStateMachine.h"
#include "carobpath/publication/SetCheck.h"

#include <map>
#include <ostream>
#include <set>

namespace carobpath::publication::samples {

/// A mechanism that a run disables to verify that the checks detect its absence.
enum class DisabledMechanism : std::uint8_t {
    None,
    RecordIds,
    Bases,
    Owners,
    FirstVerdictWins,
};

/// One step of a history: the action, the actor, the object, and the number of records since the author read the log.
struct Step {
    int action = 0;
    int actor = 0;
    int object = 0;
    int lag = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Step& it)
{
    return out << "{action " << it.action << ", actor " << it.actor << ", object " << it.object << ", lag " << it.lag << "}";
}

/// Competing operators: two of member petra and one of member akwapim.
inline MemberName memberOf(int actor) { return actor < 2 ? petra : akwapim; }
inline KeyPair keyOf(const MemberName& member) { return member == petra ? petraKey() : akwapimKey(); }

/// Appends the records of a history to a state machine and checks all invariants after each record.
class Run {
public:
    explicit Run(DisabledMechanism disabled)
        : m_disabled(disabled)
    {
        append(publishRecord(1, 0, bookingChanges()), petra, {});
        append(publishRecord(2, 1, { PutVersion { version("booking-2", "booking") }, PutVersion { version("booking-3", "booking") } }), petra, {});
        append(akwapimRecord(3, 2, { PutVersion { version("maps-1", "maps", akwapim) }, PutService { service("maps", "maps-1", akwapim) }, PutRoute { route("maps-0", "maps", "/0", akwapim) } }), akwapim, {});
    }

    void step(const Step& step)
    {
        if (step.action < 8)
            return publish(step);
        if (step.action == 8 && !m_published.empty())
            return repeat(step);
        if (step.action == 9)
            return appendBytes(m_log.at(static_cast<std::size_t>(step.object)).substr(0, 40), {}, {});
        if (step.action == 10)
            return forge(step);
        if (step.action == 11)
            return checkpoint();
        appendVerdict(step);
    }

    /// Checks that log readers that start from any checkpoint reach the same state as one that replays the full log.
    void checkReplays()
    {
        ConfigurationStateMachine full { trustedKeys() };
        for (const auto& bytes : m_log)
            full.apply(full.next(), bytes);
        require(full.state() == m_stateMachine.state(), "two readers of the full log differ");
        for (const auto& it : m_checkpoints) {
            auto machine = ConfigurationStateMachine::fromCheckpoint(it, trustedKeys()).value();
            while (machine.next() < m_log.size())
                machine.apply(machine.next(), m_log.at(machine.next()));
            require(machine.state() == m_stateMachine.state(), "a reader from a checkpoint differs");
        }
    }

    const std::string& violation() const { return m_violation; }

private:
    struct RecordOrigin {
        RecordId id;
        Offset base = 0;
    };

    struct PublishedRecord {
        MemberName actor;
        PublishRecord record;
    };

    std::vector<Change> changesOf(const Step& step) const
    {
        const auto member = memberOf(step.actor);
        const std::string ownService = member == petra ? "booking" : "maps";
        const std::string n = std::to_string(step.object);
        switch (step.action) {
        case 0:
        case 1:
            return { PutRoute { route(ownService + "-" + n, ownService, "/" + n + "/" + std::to_string(m_log.size()), member) } };
        case 2:
            return { DeleteObject { { ObjectKind::Route, ownService + "-" + n } } };
        case 3:
            return { PutVersion { version(ownService + "-" + n, ownService, member) }, DeleteObject { { ObjectKind::Version, ownService + "-2" } } };
        case 4:
            // Tries to delete an object of the other member.
            return { DeleteObject { { ObjectKind::Route, "maps-0" } } };
        case 5: {
            auto other = route("maps-0", ownService, "/stolen", member);
            return { PutRoute { other } };
        }
        default: {
            auto it = move("move-" + n, "booking", "booking-" + std::to_string(1 + step.object), member);
            it.deadline += std::chrono::seconds { m_log.size() };
            return { PutMove { it } };
        }
        }
    }

    void publish(const Step& step)
    {
        const auto member = memberOf(step.actor);
        const Offset base = m_stateMachine.next() - std::min<Offset>(m_stateMachine.next(), static_cast<Offset>(step.lag));
        const RecordId id = recordId(m_stateMachine.next(), "operator-" + std::to_string(step.actor));
        PublishRecord record { id, member, base, changesOf(step), {} };
        m_published.push_back({ member, record });
        append(record, member, RecordOrigin { id, base });
    }

    void repeat(const Step& step)
    {
        const auto& it = m_published.at(m_published.size() - 1 - static_cast<std::size_t>(step.lag) % m_published.size());
        append(it.record, it.actor, RecordOrigin { it.record.id, it.record.base });
    }

    void forge(const Step& step)
    {
        const PublishRecord record { recordId(m_stateMachine.next(), "forger"), petra, m_stateMachine.next(), changesOf({ 2, 0, step.object, 0 }), {} };
        appendBytes(encodeRecord(sign(record, akwapimKey())), akwapim, {});
    }

    void checkpoint()
    {
        m_checkpoints.push_back(sign(CheckpointRecord { recordId(m_stateMachine.next(), "node-1"), NodeName { "node-1" }, WallTime {}, m_stateMachine.state(), {} }, fleetKey()));
        appendBytes(encodeRecord(m_checkpoints.back()), {}, {});
    }

    void appendVerdict(const Step& step)
    {
        const MoveName name { "move-" + std::to_string(step.object) };
        const auto& moves = m_stateMachine.current()->set.moves;
        const auto it = moves.find(name);
        const Offset publishedAt = it == moves.end() ? 0 : it->second.publishedAt;
        if (m_disabled == DisabledMechanism::FirstVerdictWins && it != moves.end())
            forgetVerdict(name);
        const auto outcome = step.lag % 2 == 0 ? MoveOutcome::Done : MoveOutcome::TakenBack;
        appendBytes(encodeRecord(verdictRecord(name.value(), publishedAt, outcome)), petra, {});
    }

    void forgetVerdict(const MoveName& name)
    {
        auto state = m_stateMachine.state();
        state.set.moves.at(name).verdict.reset();
        state.stamp->digest = digestOfSet(state.set);
        auto machine = ConfigurationStateMachine::fromCheckpoint(sign(CheckpointRecord { recordId(1, "n"), NodeName { "n" }, WallTime {}, state, {} }, fleetKey()), trustedKeys());
        if (machine)
            m_stateMachine = std::move(*machine);
    }

    void append(PublishRecord record, const MemberName& actor, const std::optional<RecordOrigin>& origin)
    {
        if (m_disabled == DisabledMechanism::RecordIds)
            record.id.sequence = 1000000 + m_stateMachine.next();
        if (m_disabled == DisabledMechanism::Bases)
            record.base = m_stateMachine.next();
        if (m_disabled == DisabledMechanism::Owners && refOf(record.changes.front()).name == "maps-0")
            record.member = akwapim;
        appendBytes(encodeRecord(sign(record, keyOf(record.member))), actor, origin);
    }

    void appendBytes(const std::string& bytes, const MemberName& actor, const std::optional<RecordOrigin>& origin)
    {
        const auto before = m_stateMachine.current();
        const auto outcome = m_stateMachine.apply(m_stateMachine.next(), bytes);
        m_log.push_back(bytes);
        checkActiveSet(before, outcome);
        if (before)
            checkChange(before->set, actor, origin, std::holds_alternative<VerdictAccepted>(outcome));
        if (origin && std::holds_alternative<Accepted>(outcome))
            require(m_accepted.insert({ actor, origin->id }).second, "an id took effect twice");
    }

    void checkActiveSet(const ConfigurationPointer& before, const ApplyOutcome& outcome)
    {
        const bool changes = std::holds_alternative<Accepted>(outcome) || std::holds_alternative<VerdictAccepted>(outcome);
        if (!changes)
            return require(m_stateMachine.current() == before, "a record that was not accepted changed the set");
        require(checkSet(m_stateMachine.current()->set).empty(), "the active set has a fault");
        require(!before || before->stamp.offset < m_stateMachine.current()->stamp.offset, "the offset of the stamp did not increase");
    }

    void checkChange(const ConfigurationSet& before, const MemberName& actor, const std::optional<RecordOrigin>& origin, bool isVerdict)
    {
        const auto& after = m_stateMachine.current()->set;
        checkEntries(before.services, after.services, actor, origin, [](const auto& it) { return it.service.member; });
        checkEntries(before.routes, after.routes, actor, origin, [](const auto& it) { return it.route.member; });
        checkEntries(before.versions, after.versions, actor, origin, [](const auto& it) { return it.version.member; });
        checkEntries(before.moves, after.moves, actor, isVerdict ? std::nullopt : origin, [](const auto& it) { return it.move.member; });
        for (const auto& [name, entry] : after.moves)
            checkVerdict(entry);
    }

    template <typename Map, typename Owner>
    void checkEntries(const Map& before, const Map& after, const MemberName& actor, const std::optional<RecordOrigin>& origin, Owner owner)
    {
        for (const auto& [name, entry] : before) {
            const auto it = after.find(name);
            if (it != after.end() && it->second == entry)
                continue;
            require(owner(entry) == actor, "a member changed another's object");
            require(!origin || entry.changedAt < origin->base, "a change that the author had not seen was overwritten");
        }
    }

    void checkVerdict(const MoveEntry& entry)
    {
        if (!entry.verdict)
            return;
        const auto [it, isNew] = m_verdicts.insert({ { entry.move.name, entry.publishedAt }, *entry.verdict });
        require(it->second == *entry.verdict, "a verdict was overwritten");
    }

    void require(bool holds, const char* text)
    {
        if (!holds && m_violation.empty())
            m_violation = text;
    }

    DisabledMechanism m_disabled;
    ConfigurationStateMachine m_stateMachine { trustedKeys() };
    std::vector<std::string> m_log;
    std::vector<PublishedRecord> m_published;
    std::vector<CheckpointRecord> m_checkpoints;
    std::set<std::pair<MemberName, RecordId>> m_accepted;
    std::map<std::pair<MoveName, Offset>, MoveVerdict> m_verdicts;
    std::string m_violation;
};

}
