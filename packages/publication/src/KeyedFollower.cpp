#include "carobpath/publication/KeyedFollower.h"

#include <algorithm>

namespace carobpath::publication {

std::vector<KeyedRecord> KeyedFollower::onBatch(const KeyedBatch& batch)
{
    std::vector<KeyedRecord> news;
    for (const auto& record : batch.records) {
        const auto [it, isNew] = m_newest.try_emplace(record.key, record.offset);
        if (!isNew && record.offset <= it->second)
            continue;
        it->second = record.offset;
        news.push_back(record);
    }
    std::sort(news.begin(), news.end(), [](const auto& a, const auto& b) { return a.offset < b.offset; });
    m_nextRead = batch.next;
    m_wantsListing = false;
    m_caughtUp = true;
    return news;
}

}
