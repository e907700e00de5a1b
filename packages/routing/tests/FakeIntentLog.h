#pragma once

#include "carobpath/routing/IdempotencyLedger.h"

#include <map>
#include <vector>

namespace carobpath::routing::tests {

/// In-memory version of the intents streams of the platform's log.
class FakeIntentLog {
public:
    publication::Offset append(Partition partition, const std::string& body)
    {
        auto& stream = m_streams[partition];
        ++m_appends;
        stream.records.push_back({ stream.next, body });
        return stream.next++;
    }

    IntentPage read(Partition partition, publication::Offset from)
    {
        const auto& stream = m_streams[partition];
        // A read of trimmed records is answered with the offset of the oldest kept record.
        if (from < stream.first)
            return { stream.first, stream.first, {} };
        IntentPage page { stream.first, stream.next, {} };
        for (const auto& it : stream.records) {
            if (it.offset >= from && it.offset >= stream.first && page.records.size() < m_pageSize)
                page.records.push_back(it);
        }
        return page;
    }

    void trimBefore(Partition partition, publication::Offset first) { m_streams[partition].first = first; }
    void setPageSize(std::size_t size) { m_pageSize = size; }
    std::uint64_t appends() const { return m_appends; }

private:
    struct Stream {
        publication::Offset first = 0;
        publication::Offset next = 0;
        std::vector<IntentLogRecord> records;
    };

    std::map<Partition, Stream> m_streams;
    std::size_t m_pageSize = 256;
    std::uint64_t m_appends = 0;
};

}
