#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/routing/IntentRecord.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carobpath::routing {

/// A record as stored in the platform's log.
struct IntentLogRecord {
    publication::Offset offset = 0;
    std::string body;
};

/// Answer of the log to one read.
struct IntentPage {
    /// Offset of the oldest record that is kept.
    publication::Offset first = 0;
    /// Offset that the next append gets.
    publication::Offset next = 0;
    std::vector<IntentLogRecord> records;
};

/// Status of a key for one request, according to the log.
enum class KeyStatus : std::uint8_t {
    Open,
    /// The request holds the key.
    Holder,
    /// The request released the key and can never hold it again.
    Released,
    /// Another request holds the key, and its outcome is not known.
    HeldByOther,
    /// Another request held the key and ran.
    RanByOther,
};

/// State machine over one partition's stream: all readers that have applied the same records agree on the holders.
/// Records that the log has trimmed are removed, so a key is protected only for the log's retention time.
class IntentPartition {
public:
    /// Maximum number of held keys; beyond it the partition is over capacity and decides no claims.
    static constexpr std::size_t s_maxKeys = 16384;
    /// Maximum number of stored intents of all kinds; beyond it the partition is over capacity too.
    static constexpr std::size_t s_maxIntents = 4 * s_maxKeys;

    /// Applies the records that follow the last applied one; earlier records and records after a gap are ignored.
    void apply(const IntentPage&);

    KeyStatus status(const IntentKey&, const RequestId&) const;
    /// \returns whether the batch was applied and is still stored.
    bool contains(const std::string& batchId) const { return m_batches.contains(batchId); }
    /// Offset of the first record that is not applied yet.
    publication::Offset next() const { return m_next; }
    bool overCapacity() const { return m_holders.size() > s_maxKeys || m_intents > s_maxIntents; }
    std::size_t keys() const { return m_holders.size(); }
    /// Number of records that were not a valid batch of intents.
    std::uint64_t malformed() const { return m_malformed; }

private:
    struct Holder {
        RequestId request;
        publication::Offset offset = 0;
        bool ran = false;
    };
    struct AppliedRecord {
        publication::Offset offset = 0;
        IntentBatch batch;
    };

    void applyRecord(const IntentLogRecord&);
    void applyIntent(const Intent&, publication::Offset);
    void removeBefore(publication::Offset first);
    void remove(const AppliedRecord&);

    publication::Offset m_next = 0;
    std::uint64_t m_malformed = 0;
    std::size_t m_intents = 0;
    std::unordered_map<IntentKey, Holder> m_holders;
    std::unordered_map<RequestId, publication::Offset> m_released;
    std::unordered_set<std::string> m_batches;
    /// The applied records that the log still keeps, oldest first.
    std::deque<AppliedRecord> m_applied;
};

}
