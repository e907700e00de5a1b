#include "carobpath/publication/ConfigurationStateMachine.h"

#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/SetCheck.h"
#include "internal/ChangeApplier.h"

#include <algorithm>

namespace carobpath::publication {

namespace {

    Rejected rejection(const PublishRecord& record, FaultKind kind)
    {
        Fault fault;
        fault.kind = kind;
        return { record.member, record.id, { std::move(fault) } };
    }

    Rejected oversized(const PublishRecord& record)
    {
        auto rejected = rejection(record, FaultKind::BoundExceeded);
        rejected.faults.front().value = "bytes of the whole set";
        return rejected;
    }

    template <typename Entries>
    Entries between(const Entries& entries, Offset from, Offset end)
    {
        Entries result;
        std::copy_if(entries.begin(), entries.end(), std::back_inserter(result), [&](const auto& it) { return it.at >= from && it.at < end; });
        return result;
    }

    void endMove(ConfigurationSet& set, MoveEntry& entry, const MoveVerdict& verdict, Offset offset)
    {
        entry.verdict = verdict;
        entry.changedAt = offset;
        const ServiceName service = entry.move.service;
        if (verdict.outcome == MoveOutcome::Done) {
            auto& serviceEntry = set.services.at(service);
            serviceEntry.currentVersion = entry.move.to;
            serviceEntry.changedAt = offset;
        }
        Detail::trimEndedMoves(set, service);
    }

}

ConfigurationStateMachine::ConfigurationStateMachine(TrustedKeys keys)
    : m_keys(std::move(keys))
{
}

Result<ConfigurationStateMachine> ConfigurationStateMachine::fromCheckpoint(const CheckpointRecord& checkpoint, TrustedKeys keys)
{
    if (!verify(checkpoint, keys))
        return boost::leaf::new_error(BadCheckpoint { BadCheckpoint::Reason::BadSignature });
    const auto& state = checkpoint.state;
    ConfigurationStateMachine machine { std::move(keys) };
    if (state.stamp) {
        if (digestOfSet(state.set) != state.stamp->digest)
            return boost::leaf::new_error(BadCheckpoint { BadCheckpoint::Reason::WrongDigest });
        if (!checkSet(state.set).empty())
            return boost::leaf::new_error(BadCheckpoint { BadCheckpoint::Reason::BadSet });
        machine.m_current = std::make_shared<const ConfigurationVersion>(ConfigurationVersion { *state.stamp, state.set });
        machine.m_stamps.push_back(*state.stamp);
    }
    machine.m_next = state.next;
    machine.m_records = state.records;
    machine.m_deletions = state.deletions;
    machine.m_forgottenBefore = state.forgottenBefore;
    machine.m_stampsKnownFrom = state.next;
    return machine;
}

ApplyOutcome ConfigurationStateMachine::apply(Offset offset, std::string_view bytes)
{
    if (offset != m_next)
        return OutOfOrder { m_next };
    ++m_next;
    CodecError error;
    const auto record = boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Record>> {
            auto decoded = decodeRecord(bytes);
            if (!decoded)
                return decoded.error();
            return std::optional<Record> { std::move(*decoded) };
        },
        [&](const CodecError& it) {
            error = it;
            return std::optional<Record> {};
        },
        [] { return std::optional<Record> {}; });
    if (!record)
        return Malformed { error.fault };
    if (!verify(*record, m_keys))
        return BadSignature {};
    return std::visit([&](const auto& it) { return applyRecord(offset, it); }, *record);
}

ReplicatedState ConfigurationStateMachine::state() const
{
    ReplicatedState state;
    if (m_current) {
        state.stamp = m_current->stamp;
        state.set = m_current->set;
    }
    state.next = m_next;
    state.records = m_records;
    state.deletions = m_deletions;
    state.forgottenBefore = m_forgottenBefore;
    return state;
}

ApplyOutcome ConfigurationStateMachine::applyRecord(Offset offset, const PublishRecord& record)
{
    if (const auto* first = find(record.member, record.id))
        return Duplicate { record.member, record.id, first->at, first->accepted };
    // The id of a record with an older base may have been forgotten; such a record is not remembered either.
    if (record.base < m_forgottenBefore)
        return rejection(record, FaultKind::BaseTooOld);
    if (record.base > offset)
        return rejection(record, FaultKind::BaseInFuture);

    Detail::ChangeApplier changes { m_current ? m_current->set : ConfigurationSet {}, m_deletions, record, offset };
    changes.apply();
    if (!changes.faults().empty()) {
        remember(record, offset, false);
        return Rejected { record.member, record.id, changes.faults() };
    }
    auto set = changes.takeSet();
    const std::string encoded = encode(set);
    if (!fitsIntoSetBound(set, encoded.size())) {
        remember(record, offset, false);
        return oversized(record);
    }
    const auto stamp = activate(offset, std::move(set), digestOf(encoded));
    remember(record, offset, true);
    rememberDeletions(record, offset);
    return Accepted { record.member, record.id, stamp };
}

ApplyOutcome ConfigurationStateMachine::applyRecord(Offset offset, const VerdictRecord& record)
{
    if (!m_current || !m_current->set.moves.contains(record.move))
        return VerdictIgnored { record.move, VerdictIgnoredReason::UnknownMove };
    const auto& moveEntry = m_current->set.moves.at(record.move);
    if (moveEntry.publishedAt != record.movePublishedAt)
        return VerdictIgnored { record.move, VerdictIgnoredReason::OtherMove };
    if (moveEntry.verdict)
        return VerdictIgnored { record.move, VerdictIgnoredReason::AlreadyEnded };

    ConfigurationSet set = m_current->set;
    endMove(set, set.moves.at(record.move), record.verdict, offset);
    const auto digest = digestOfSet(set);
    return VerdictAccepted { record.move, record.verdict, activate(offset, std::move(set), digest) };
}

ApplyOutcome ConfigurationStateMachine::applyRecord(Offset offset, const CheckpointRecord& record)
{
    const auto& state = record.state;
    if (state.next > offset)
        return CheckpointMismatch { record.writer, state.next };
    if (!knowsStampBefore(state.next))
        return CheckpointIgnored { state.next };
    if (!agreesWith(state))
        return CheckpointMismatch { record.writer, state.next };
    return CheckpointMatched { state.next, record.writtenAt };
}

const RememberedRecord* ConfigurationStateMachine::find(const MemberName& member, const RecordId& id) const
{
    const auto it = std::find_if(m_records.begin(), m_records.end(), [&](const auto& r) { return r.id == id && r.member == member; });
    return it == m_records.end() ? nullptr : &*it;
}

void ConfigurationStateMachine::remember(const PublishRecord& record, Offset offset, bool accepted)
{
    m_records.push_back({ record.member, record.id, offset, accepted });
    if (m_records.size() <= bounds::rememberedRecords)
        return;
    m_forgottenBefore = std::max(m_forgottenBefore, m_records.front().at + 1);
    m_records.pop_front();
}

void ConfigurationStateMachine::rememberDeletions(const PublishRecord& record, Offset offset)
{
    for (const auto& change : record.changes) {
        if (const auto* it = std::get_if<DeleteObject>(&change))
            m_deletions.push_back({ it->object, offset });
    }
    while (m_deletions.size() > bounds::rememberedDeletions) {
        m_forgottenBefore = std::max(m_forgottenBefore, m_deletions.front().at + 1);
        m_deletions.pop_front();
    }
}

ConfigurationStamp ConfigurationStateMachine::activate(Offset offset, ConfigurationSet set, Digest digest)
{
    const ConfigurationStamp stamp { offset, digest };
    m_current = std::make_shared<const ConfigurationVersion>(ConfigurationVersion { stamp, std::move(set) });
    m_stamps.push_back(stamp);
    if (m_stamps.size() > bounds::rememberedStamps) {
        m_stamps.pop_front();
        m_stampsKnownFrom = m_stamps.front().offset + 1;
    }
    return stamp;
}

bool ConfigurationStateMachine::knowsStampBefore(Offset offset) const
{
    return offset >= m_stampsKnownFrom;
}

std::optional<ConfigurationStamp> ConfigurationStateMachine::stampBefore(Offset offset) const
{
    const auto it = std::find_if(m_stamps.rbegin(), m_stamps.rend(), [&](const auto& stamp) { return stamp.offset < offset; });
    return it == m_stamps.rend() ? std::nullopt : std::optional { *it };
}

bool ConfigurationStateMachine::agreesWith(const ReplicatedState& state) const
{
    if (state.stamp != stampBefore(state.next))
        return false;
    if (state.stamp && digestOfSet(state.set) != state.stamp->digest)
        return false;
    if (state.forgottenBefore > m_forgottenBefore)
        return false;
    return between(state.records, m_forgottenBefore, state.next) == between(m_records, m_forgottenBefore, state.next)
        && between(state.deletions, m_forgottenBefore, state.next) == between(m_deletions, m_forgottenBefore, state.next);
}

}
