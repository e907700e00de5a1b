#include "carobpath/routing/IntentPartition.h"

#include <algorithm>

namespace carobpath::routing {

void IntentPartition::apply(const IntentPage& page)
{
    removeBefore(page.first);
    m_next = std::max(m_next, page.first);
    for (const auto& record : page.records) {
        if (record.offset > m_next)
            return;
        if (record.offset < m_next)
            continue;
        applyRecord(record);
        ++m_next;
    }
}

void IntentPartition::applyRecord(const IntentLogRecord& record)
{
    const auto applied = boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(batch, decodeIntents(record.body));
            for (const auto& it : batch.intents)
                applyIntent(it, record.offset);
            m_batches.insert(batch.id);
            m_intents += batch.intents.size();
            m_applied.push_back({ record.offset, std::move(batch) });
            return true;
        },
        [] { return false; });
    if (!applied)
        ++m_malformed;
}

void IntentPartition::applyIntent(const Intent& intent, publication::Offset offset)
{
    const auto holder = m_holders.find(intent.key);
    const bool held = holder != m_holders.end() && holder->second.request == intent.request;
    switch (intent.kind) {
    case IntentKind::Claim:
        if (!m_released.contains(intent.request))
            m_holders.try_emplace(intent.key, Holder { intent.request, offset, false });
        break;
    case IntentKind::Release:
        m_released[intent.request] = offset;
        if (held)
            m_holders.erase(holder);
        break;
    case IntentKind::Ran:
        if (held)
            holder->second.ran = true;
        break;
    }
}

void IntentPartition::removeBefore(publication::Offset first)
{
    while (!m_applied.empty() && m_applied.front().offset < first) {
        remove(m_applied.front());
        m_applied.pop_front();
    }
}

void IntentPartition::remove(const AppliedRecord& applied)
{
    for (const auto& it : applied.batch.intents) {
        const auto holder = m_holders.find(it.key);
        if (holder != m_holders.end() && holder->second.offset == applied.offset)
            m_holders.erase(holder);
        const auto released = m_released.find(it.request);
        if (released != m_released.end() && released->second == applied.offset)
            m_released.erase(released);
    }
    m_intents -= applied.batch.intents.size();
    m_batches.erase(applied.batch.id);
}

KeyStatus IntentPartition::status(const IntentKey& key, const RequestId& request) const
{
    if (m_released.contains(request))
        return KeyStatus::Released;
    const auto holder = m_holders.find(key);
    if (holder == m_holders.end())
        return KeyStatus::Open;
    if (holder->second.request == request)
        return KeyStatus::Holder;
    return holder->second.ran ? KeyStatus::RanByOther : KeyStatus::HeldByOther;
}

}
