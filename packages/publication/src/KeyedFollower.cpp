#include "carobpath/publication/KeyedFollower.h"

#include <algorithm>

namespace carobpath::publication {

std::vector<KeyUpdates> KeyedFollower::onBatch(const KeyedBatch& batch)
{
    const bool wasListing = m_needsListing;
    onEra(batch.era);
    m_previousNewest = m_newest;
    m_previousNextRead = wasListing && m_caughtUp ? std::optional { m_nextRead } : std::nullopt;
    auto updates = collectUpdates(batch);
    if (!wasListing || !m_isRereading || hasSuccessor(updates))
        m_nextRead = batch.next;
    m_isRereading = m_isRereading && m_nextRead <= m_refused->offset;
    planNext(wasListing, updates);
    m_caughtUp = true;
    return updates;
}

bool KeyedFollower::onEra(StoreEra era)
{
    if (era <= m_era)
        return false;
    *this = KeyedFollower {};
    m_era = era;
    return true;
}

std::vector<KeyUpdates> KeyedFollower::collectUpdates(const KeyedBatch& batch)
{
    std::map<std::string, KeyUpdates> byKey;
    for (const auto& record : batch.records) {
        const auto known = m_newest.find(record.key);
        const bool isNewer = known == m_newest.end() || record.offset > known->second;
        if (isNewer && !isRefused(record))
            byKey[record.key].push_back(record);
    }
    std::vector<KeyUpdates> updates;
    for (auto& [key, records] : byKey) {
        std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.offset > b.offset; });
        m_newest[key] = records.front().offset;
        updates.push_back(std::move(records));
    }
    std::sort(updates.begin(), updates.end(), [](const auto& a, const auto& b) { return a.front().offset < b.front().offset; });
    return updates;
}

void KeyedFollower::planNext(bool wasListing, const std::vector<KeyUpdates>& updates)
{
    const bool wasReplaced = std::any_of(updates.begin(), updates.end(), [](const KeyUpdates& it) { return it.size() > 1; });
    m_isBusy = wasListing ? m_isBusy && !updates.empty() : wasReplaced;
    m_needsListing = m_isBusy;
    m_shouldPause = m_caughtUp && !updates.empty();
    if (m_isRereading) {
        m_needsListing = false;
        m_shouldPause = false;
    }
}

bool KeyedFollower::isRefused(const KeyedRecord& record) const
{
    return m_refused && m_refused->offset == record.offset;
}

bool KeyedFollower::hasSuccessor(const std::vector<KeyUpdates>& updates) const
{
    return std::any_of(updates.begin(), updates.end(), [&](const KeyUpdates& it) { return it.front().key == m_refused->key; });
}

void KeyedFollower::onRefused(const KeyUpdates& updates)
{
    if (!m_previousNextRead)
        return;
    const auto& key = updates.front().key;
    const auto before = m_previousNewest.find(key);
    if (before == m_previousNewest.end())
        m_newest.erase(key);
    else
        m_newest[key] = before->second;
    m_refused = updates.front();
    m_refused->value.reset();
    m_isRereading = true;
    m_nextRead = *m_previousNextRead;
    m_needsListing = false;
    m_shouldPause = false;
}

}
