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

/// A record as the platform's log keeps it.
struct IntentLogRecord {
    publication::Offset offset = 0;
    std::string body;
};

/// Answer of the log to one read.
struct IntentPage {
    /// Oldest record that is kept.
    publication::Offset first = 0;
    /// Offset that the next append gets.
    publication::Offset next = 0;
    std::vector<IntentLogRecord> records;
};

/// What the log says of a key towards one request.
enum class KeyStatus : std::uint8_t {
    Open,
    /// The request holds the key.
    Holder,
    /// The request gave the key up; it never gets it again.
    Released,
    /// Another request holds the key, its end is not known.
    HeldByOther,
    /// Another request held the key and ran.
    RanByOther,
};

/// The fold of one partition's stream: every reader that has folded the same records names the same holders.
/// Records that the log has trimmed are forgotten, so a key is protected for the log's retention and no longer.
class IntentPartition {
public:
    /// Keys that are held at most; beyond it the partition is overfull and decides nothing.
    static constexpr std::size_t s_maxKeys = 16384;
    /// Intents of all kinds that are kept at most, likewise.
    static constexpr std::size_t s_maxIntents = 4 * s_maxKeys;

    /// Folds the records that follow the last one; earlier ones and records behind a gap are left out.
    void fold(const IntentPage&);

    KeyStatus standing(const IntentKey&, const RequestId&) const;
    /// \returns whether the batch was folded and is still kept.
    bool contains(const std::string& batchId) const { return m_batches.contains(batchId); }
    /// Offset of the first record not yet folded.
    publication::Offset next() const { return m_next; }
    bool overfull() const { return m_holders.size() > s_maxKeys || m_intents > s_maxIntents; }
    std::size_t keys() const { return m_holders.size(); }
    /// Records that were no batch of intents.
    std::uint64_t malformed() const { return m_malformed; }

private:
    struct Holder {
        RequestId request;
        publication::Offset offset = 0;
        bool ran = false;
    };
    struct Folded {
        publication::Offset offset = 0;
        IntentBatch batch;
    };

    void foldRecord(const IntentLogRecord&);
    void foldIntent(const Intent&, publication::Offset);
    void forgetBefore(publication::Offset first);
    void forget(const Folded&);

    publication::Offset m_next = 0;
    std::uint64_t m_malformed = 0;
    std::size_t m_intents = 0;
    std::unordered_map<IntentKey, Holder> m_holders;
    std::unordered_map<RequestId, publication::Offset> m_givenUp;
    std::unordered_set<std::string> m_batches;
    /// What each kept record added, oldest first.
    std::deque<Folded> m_folded;
};

}
