#include "carobpath/publication/KeyedFollower.h"

#include <algorithm>

namespace carobpath::publication {

std::vector<KeyUpdates> KeyedFollower::onBatch(const KeyedBatch& batch)
{
    const bool wasListing = m_wantsListing;
    m_newestBefore = m_newest;
    m_readBefore = wasListing && m_caughtUp ? std::optional { m_nextRead } : std::nullopt;
    auto news = takeNews(batch);
    m_nextRead = batch.next;
    planNext(wasListing, news);
    m_caughtUp = true;
    return news;
}

std::vector<KeyUpdates> KeyedFollower::takeNews(const KeyedBatch& batch)
{
    std::map<std::string, KeyUpdates> byKey;
    for (const auto& record : batch.records) {
        const auto known = m_newest.find(record.key);
        const bool isNews = known == m_newest.end() || record.offset > known->second;
        if (isNews && record.offset != m_refused)
            byKey[record.key].push_back(record);
    }
    std::vector<KeyUpdates> news;
    for (auto& [key, records] : byKey) {
        std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.offset > b.offset; });
        m_newest[key] = records.front().offset;
        news.push_back(std::move(records));
    }
    std::sort(news.begin(), news.end(), [](const auto& a, const auto& b) { return a.front().offset < b.front().offset; });
    return news;
}

void KeyedFollower::planNext(bool wasListing, const std::vector<KeyUpdates>& news)
{
    const bool wasReplaced = std::any_of(news.begin(), news.end(), [](const KeyUpdates& it) { return it.size() > 1; });
    m_isBusy = wasListing ? m_isBusy && !news.empty() : wasReplaced;
    m_wantsListing = m_isBusy;
    m_wantsPause = m_caughtUp && !news.empty();
}

void KeyedFollower::onRefused(const KeyUpdates& news)
{
    if (!m_readBefore)
        return;
    const auto& key = news.front().key;
    const auto before = m_newestBefore.find(key);
    if (before == m_newestBefore.end())
        m_newest.erase(key);
    else
        m_newest[key] = before->second;
    m_refused = news.front().offset;
    m_nextRead = *m_readBefore;
    m_wantsListing = false;
    m_wantsPause = false;
}

}
