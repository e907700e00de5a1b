#include "LogStore.h"

#include <algorithm>

namespace carobpath::standins {

std::uint64_t LogStore::append(const std::string& stream, std::string body, MonotonicTime now)
{
    Stream& it = trimmed(stream, now);
    const auto offset = it.next();
    it.records.push_back({ offset, std::move(body), now });
    return offset;
}

std::variant<LogPage, LogTrimmed> LogStore::read(const std::string& stream, std::uint64_t from, std::size_t limit, MonotonicTime now)
{
    const Stream& it = trimmed(stream, now);
    if (from < it.first)
        return LogTrimmed { it.first };
    LogPage page { it.first, it.next(), {} };
    const auto count = std::min(limit, s_maximumPage);
    for (auto offset = from; offset < it.next() && page.records.size() < count; ++offset)
        page.records.push_back(it.records[offset - it.first]);
    return page;
}

LogStore::Stream& LogStore::trimmed(const std::string& stream, MonotonicTime now)
{
    Stream& it = m_streams[stream];
    while (!it.records.empty() && it.records.front().appendedAt + m_retention <= now) {
        it.records.pop_front();
        ++it.first;
    }
    return it;
}

}
