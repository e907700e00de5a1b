#include "carobpath/routing/IntentPartition.h"

#include <algorithm>

namespace carobpath::routing {

void IntentPartition::fold(const IntentPage& page)
{
    forgetBefore(page.first);
    m_next = std::max(m_next, page.first);
    for (const auto& record : page.records) {
        if (record.offset > m_next)
            return;
        if (record.offset < m_next)
            continue;
        foldRecord(record);
        ++m_next;
    }
}

void IntentPartition::foldRecord(const IntentLogRecord& record)
{
    const auto folded = boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(batch, decodeIntents(record.body));
            for (const auto& it : batch.intents)
                foldIntent(it, record.offset);
            m_batches.insert(batch.id);
            m_intents += batch.intents.size();
            m_folded.push_back({ record.offset, std::move(batch) });
            return true;
        },
        [] { return false; });
    if (!folded)
        ++m_malformed;
}

void IntentPartition::foldIntent(const Intent& intent, publication::Offset offset)
{
    const auto holder = m_holders.find(intent.key);
    const bool held = holder != m_holders.end() && holder->second.request == intent.request;
    switch (intent.kind) {
    case IntentKind::Claim:
        if (!m_givenUp.contains(intent.request))
            m_holders.try_emplace(intent.key, Holder { intent.request, offset, false });
        break;
    case IntentKind::Release:
        m_givenUp[intent.request] = offset;
        if (held)
            m_holders.erase(holder);
        break;
    case IntentKind::Ran:
        if (held)
            holder->second.ran = true;
        break;
    }
}

void IntentPartition::forgetBefore(publication::Offset first)
{
    while (!m_folded.empty() && m_folded.front().offset < first) {
        forget(m_folded.front());
        m_folded.pop_front();
    }
}

void IntentPartition::forget(const Folded& folded)
{
    for (const auto& it : folded.batch.intents) {
        const auto holder = m_holders.find(it.key);
        if (holder != m_holders.end() && holder->second.offset == folded.offset)
            m_holders.erase(holder);
        const auto givenUp = m_givenUp.find(it.request);
        if (givenUp != m_givenUp.end() && givenUp->second == folded.offset)
            m_givenUp.erase(givenUp);
    }
    m_intents -= folded.batch.intents.size();
    m_batches.erase(folded.batch.id);
}

KeyStatus IntentPartition::standing(const IntentKey& key, const RequestId& request) const
{
    if (m_givenUp.contains(request))
        return KeyStatus::Released;
    const auto holder = m_holders.find(key);
    if (holder == m_holders.end())
        return KeyStatus::Open;
    if (holder->second.request == request)
        return KeyStatus::Holder;
    return holder->second.ran ? KeyStatus::RanByOther : KeyStatus::HeldByOther;
}

}
