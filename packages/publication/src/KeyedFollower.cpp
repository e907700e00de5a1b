#include "carobpath/publication/KeyedFollower.h"

#include <algorithm>
#include <utility>

namespace carobpath::publication {

std::vector<KeyUpdates> KeyedFollower::onBatch(const KeyedBatch& batch)
{
    const bool wasListing = needsListing();
    onEra(batch.era);
    m_previousNewest = m_newest;
    m_previousNextRead = wasListing && m_caughtUp ? std::optional { m_nextRead } : std::nullopt;
    auto updates = collectUpdates(batch);
    extendRun(batch, wasListing);
    const Offset skippedEnd = std::exchange(m_skippedEnd, 0);
    if (!wasListing || !m_isRereading || hasSuccessor(updates))
        m_nextRead = std::max(batch.next, skippedEnd);
    m_isRereading = m_isRereading && m_nextRead <= m_refused->offset;
    planNext(wasListing, updates);
    // An answer that was made before its records were skipped held news too.
    m_shouldPause = m_shouldPause || (skippedEnd > 0 && !m_isRereading);
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
    m_needsListing = false;
    m_shouldPause = m_caughtUp && !updates.empty();
    if (m_isRereading) {
        m_isBusy = false;
        m_shouldPause = false;
    }
}

void KeyedFollower::extendRun(const KeyedBatch& batch, bool isListing)
{
    const auto last = std::max_element(batch.records.begin(), batch.records.end(), [](const auto& a, const auto& b) { return a.offset < b.offset; });
    if (batch.skipped > 0 || last == batch.records.end()) {
        if (batch.next != m_nextRead)
            m_run.reset();
        return;
    }
    // A listing holds the newest record of each key, so that those between them are of the key of the last one.
    const bool continuesRun = m_run && m_run->key == last->key && !isListing;
    Offset since = continuesRun ? m_run->since : m_nextRead;
    if (isListing)
        since = 0;
    for (const auto& it : batch.records) {
        if (it.key != last->key)
            since = std::max(since, it.offset + 1);
    }
    m_run = Run { last->key, since };
}

std::optional<RecordSpan> KeyedFollower::spanOf(const std::string& key) const
{
    if (!m_run || m_run->key != key || m_run->since >= m_nextRead)
        return std::nullopt;
    return RecordSpan { m_era, m_run->since, m_nextRead };
}

bool KeyedFollower::skip(const std::string& key, const RecordSpan& span)
{
    const bool adjoins = span.since <= m_nextRead && m_nextRead < span.end;
    if (!m_caughtUp || m_isRereading || span.era != m_era || !adjoins)
        return false;
    const bool continuesRun = m_run && m_run->key == key;
    m_run = Run { key, continuesRun ? std::min(m_run->since, span.since) : span.since };
    m_nextRead = span.end;
    m_skippedEnd = span.end;
    m_newest[key] = span.end - 1;
    return true;
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
    m_run.reset();
    m_needsListing = false;
    m_isBusy = false;
    m_shouldPause = false;
}

}
