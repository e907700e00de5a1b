#pragma once

#include "Samples.h"
#include "carobpath/publication/ConfigurationStateMachine.h"
#include "carobpath/publication/SetCheck.h"

#include <map>
#include <ostream>
#include <set>

/// Histories of rival operators, and the promises that each record of one is checked against.
namespace carobpath::publication::samples {

/// A mechanism that a run leaves out, to see that the checks notice.
enum class LeftOut : std::uint8_t {
    Nothing,
    RecordIds,
    Bases,
    Owners,
    FirstVerdictWins,
};

/// One step of a history: what is done, by whom, on which object and how many records ago its author read the log.
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

/// Rival operators: two of Petra's and one of Akwapim's.
inline MemberName memberOf(int actor) { return actor < 2 ? petra : akwapim; }
inline KeyPair keyOf(const MemberName& member) { return member == petra ? petraKey() : akwapimKey(); }

/// Appends the records of a history to a fold, and checks every promise after each.
class Run {
public:
    explicit Run(LeftOut leftOut)
        : m_leftOut(leftOut)
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
        giveVerdict(step);
    }

    /// Readers that start at any checkpoint reach the state of the one that read everything.
    void checkReaders()
    {
        ConfigurationStateMachine whole { trustedKeys() };
        for (const auto& bytes : m_log)
            whole.apply(whole.next(), bytes);
        require(whole.state() == m_fold.state(), "two readers of the whole log differ");
        for (const auto& it : m_checkpoints) {
            auto fold = ConfigurationStateMachine::fromCheckpoint(it, trustedKeys()).value();
            while (fold.next() < m_log.size())
                fold.apply(fold.next(), m_log.at(fold.next()));
            require(fold.state() == m_fold.state(), "a reader from a checkpoint differs");
        }
    }

    const std::string& violation() const { return m_violation; }

private:
    struct Own {
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
        const std::string own = member == petra ? "booking" : "maps";
        const std::string n = std::to_string(step.object);
        switch (step.action) {
        case 0:
        case 1:
            return { PutRoute { route(own + "-" + n, own, "/" + n + "/" + std::to_string(m_log.size()), member) } };
        case 2:
            return { DeleteObject { { ObjectKind::Route, own + "-" + n } } };
        case 3:
            return { PutVersion { version(own + "-" + n, own, member) }, DeleteObject { { ObjectKind::Version, own + "-2" } } };
        case 4:
            // The other member's object.
            return { DeleteObject { { ObjectKind::Route, "maps-0" } } };
        case 5: {
            auto other = route("maps-0", own, "/stolen", member);
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
        const Offset base = m_fold.next() - std::min<Offset>(m_fold.next(), static_cast<Offset>(step.lag));
        const RecordId id = recordId(m_fold.next(), "operator-" + std::to_string(step.actor));
        PublishRecord record { id, member, base, changesOf(step), {} };
        m_published.push_back({ member, record });
        append(record, member, Own { id, base });
    }

    void repeat(const Step& step)
    {
        const auto& it = m_published.at(m_published.size() - 1 - static_cast<std::size_t>(step.lag) % m_published.size());
        append(it.record, it.actor, Own { it.record.id, it.record.base });
    }

    void forge(const Step& step)
    {
        const PublishRecord record { recordId(m_fold.next(), "forger"), petra, m_fold.next(), changesOf({ 2, 0, step.object, 0 }), {} };
        appendBytes(encodeRecord(sign(record, akwapimKey())), akwapim, {});
    }

    void checkpoint()
    {
        m_checkpoints.push_back(sign(CheckpointRecord { recordId(m_fold.next(), "node-1"), NodeName { "node-1" }, WallTime {}, m_fold.state(), {} }, fleetKey()));
        appendBytes(encodeRecord(m_checkpoints.back()), {}, {});
    }

    void giveVerdict(const Step& step)
    {
        const MoveName name { "move-" + std::to_string(step.object) };
        const auto& moves = m_fold.current()->set.moves;
        const auto it = moves.find(name);
        const Offset publishedAt = it == moves.end() ? 0 : it->second.publishedAt;
        if (m_leftOut == LeftOut::FirstVerdictWins && it != moves.end())
            forgetVerdict(name);
        const auto outcome = step.lag % 2 == 0 ? MoveOutcome::Done : MoveOutcome::TakenBack;
        appendBytes(encodeRecord(verdictRecord(name.value(), publishedAt, outcome)), petra, {});
    }

    void forgetVerdict(const MoveName& name)
    {
        auto state = m_fold.state();
        state.set.moves.at(name).verdict.reset();
        state.stamp->digest = digestOfSet(state.set);
        auto fold = ConfigurationStateMachine::fromCheckpoint(sign(CheckpointRecord { recordId(1, "n"), NodeName { "n" }, WallTime {}, state, {} }, fleetKey()), trustedKeys());
        if (fold)
            m_fold = std::move(*fold);
    }

    void append(PublishRecord record, const MemberName& actor, const std::optional<Own>& own)
    {
        if (m_leftOut == LeftOut::RecordIds)
            record.id.sequence = 1000000 + m_fold.next();
        if (m_leftOut == LeftOut::Bases)
            record.base = m_fold.next();
        if (m_leftOut == LeftOut::Owners && refOf(record.changes.front()).name == "maps-0")
            record.member = akwapim;
        appendBytes(encodeRecord(sign(record, keyOf(record.member))), actor, own);
    }

    void appendBytes(const std::string& bytes, const MemberName& actor, const std::optional<Own>& own)
    {
        const auto before = m_fold.current();
        const auto outcome = m_fold.apply(m_fold.next(), bytes);
        m_log.push_back(bytes);
        checkSetStands(before, outcome);
        if (before)
            checkChange(before->set, actor, own, std::holds_alternative<VerdictAccepted>(outcome));
        if (own && std::holds_alternative<Accepted>(outcome))
            require(m_accepted.insert({ actor, own->id }).second, "an id took effect twice");
    }

    void checkSetStands(const ConfigurationPointer& before, const ApplyOutcome& outcome)
    {
        const bool changes = std::holds_alternative<Accepted>(outcome) || std::holds_alternative<VerdictAccepted>(outcome);
        if (!changes)
            return require(m_fold.current() == before, "a record that was not accepted changed the set");
        require(checkSet(m_fold.current()->set).empty(), "the set in force has a fault");
        require(!before || before->stamp.offset < m_fold.current()->stamp.offset, "the stamp went back");
    }

    void checkChange(const ConfigurationSet& before, const MemberName& actor, const std::optional<Own>& own, bool isVerdict)
    {
        const auto& after = m_fold.current()->set;
        checkEntries(before.services, after.services, actor, own, [](const auto& it) { return it.service.member; });
        checkEntries(before.routes, after.routes, actor, own, [](const auto& it) { return it.route.member; });
        checkEntries(before.versions, after.versions, actor, own, [](const auto& it) { return it.version.member; });
        checkEntries(before.moves, after.moves, actor, isVerdict ? std::nullopt : own, [](const auto& it) { return it.move.member; });
        for (const auto& [name, entry] : after.moves)
            checkVerdict(entry);
    }

    template <typename Map, typename Owner>
    void checkEntries(const Map& before, const Map& after, const MemberName& actor, const std::optional<Own>& own, Owner owner)
    {
        for (const auto& [name, entry] : before) {
            const auto it = after.find(name);
            if (it != after.end() && it->second == entry)
                continue;
            require(owner(entry) == actor, "a member changed another's object");
            require(!own || entry.changedAt < own->base, "a change that the author had not seen was overwritten");
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

    LeftOut m_leftOut;
    ConfigurationStateMachine m_fold { trustedKeys() };
    std::vector<std::string> m_log;
    std::vector<PublishedRecord> m_published;
    std::vector<CheckpointRecord> m_checkpoints;
    std::set<std::pair<MemberName, RecordId>> m_accepted;
    std::map<std::pair<MoveName, Offset>, MoveVerdict> m_verdicts;
    std::string m_violation;
};

}
