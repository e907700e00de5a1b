#include "carobpath/routing/IdempotencyLedger.h"

#include <algorithm>

namespace carobpath::routing {

IdempotencyLedger::IdempotencyLedger(const NodeName& node, Incarnation incarnation)
    : m_writer(node.value() + "/" + std::to_string(incarnation.value))
{
}

PartitionOwner& IdempotencyLedger::ownerOf(Partition partition)
{
    return m_owners.try_emplace(partition, partition, m_writer).first->second;
}

PartitionOwner* IdempotencyLedger::find(Partition partition)
{
    const auto it = m_owners.find(partition);
    return it == m_owners.end() ? nullptr : &it->second;
}

LedgerCommands IdempotencyLedger::onClaim(const IntentClaim& claim, MonotonicTime now)
{
    LedgerCommands commands;
    ownerOf(partitionOf(claim.key)).onClaim(claim, commands, now);
    return commands;
}

LedgerCommands IdempotencyLedger::onCallEnded(const IntentEnd& end, MonotonicTime now)
{
    LedgerCommands commands;
    ownerOf(partitionOf(end.key)).onCallEnded(end, commands, now);
    return commands;
}

LedgerCommands IdempotencyLedger::onAppended(
    Partition partition, const std::string& batch, publication::Offset offset, MonotonicTime now)
{
    LedgerCommands commands;
    if (auto* owner = find(partition))
        owner->onAppended(batch, offset, commands, now);
    return commands;
}

LedgerCommands IdempotencyLedger::onAppendFailed(Partition partition, const std::string& batch, MonotonicTime now)
{
    LedgerCommands commands;
    if (auto* owner = find(partition))
        owner->onAppendFailed(batch, commands, now);
    return commands;
}

LedgerCommands IdempotencyLedger::onRead(Partition partition, const IntentPage& page, MonotonicTime now)
{
    LedgerCommands commands;
    if (auto* owner = find(partition))
        owner->onRead(page, commands, now);
    return commands;
}

LedgerCommands IdempotencyLedger::onReadFailed(Partition partition, MonotonicTime now)
{
    LedgerCommands commands;
    if (auto* owner = find(partition))
        owner->onReadFailed(commands, now);
    return commands;
}

LedgerCommands IdempotencyLedger::onTick(MonotonicTime now)
{
    LedgerCommands commands;
    for (auto& [partition, owner] : m_owners)
        owner.onTick(commands, now);
    std::erase_if(m_owners, [&](const auto& it) { return it.second.idleSince(now - s_idleTime); });
    return commands;
}

std::optional<MonotonicTime> IdempotencyLedger::nextTick() const
{
    auto at = MonotonicTime::max();
    for (const auto& [partition, owner] : m_owners)
        at = std::min(at, owner.nextTick());
    if (at == MonotonicTime::max())
        return std::nullopt;
    return at;
}

std::size_t IdempotencyLedger::keys() const
{
    std::size_t all = 0;
    for (const auto& [partition, owner] : m_owners)
        all += owner.keys();
    return all;
}

}
