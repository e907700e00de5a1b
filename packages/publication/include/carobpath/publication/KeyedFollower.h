#pragma once

#include "carobpath/publication/KeyedStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::publication {

/// New records of one key, newest first. If a record is refused, the preceding one stays active.
using KeyUpdates = std::vector<KeyedRecord>;

/// Decides how a reader of a keyed stream obtains the newest record of each key and keeps up to date. It requests a listing
/// first and then reads the records after it. It requests a new listing if records that it needs were deleted or the stream
/// was recreated. While a key changes faster than the reader requests records, it uses listings, which omit replaced records:
/// a series of large records would cause a high load although only the last one is needed.
/// After the store has come back from a copy, the offsets of earlier eras mean nothing: a listing is requested, and the newest
/// record of each key is reported again, for the caller to compare with what it holds.
/// The class does no I/O: \c needsListing and \c nextRead determine the next request.
class KeyedFollower {
public:
    /// \returns whether the next request must be a listing rather than a read from \c nextRead.
    bool needsListing() const { return m_needsListing || m_isBusy; }
    Offset nextRead() const { return m_nextRead; }
    /// \returns whether the next read is for records that a listing omitted.
    bool isReadingOmitted() const { return m_isRereading; }
    StreamPosition position() const { return { m_era, m_nextRead }; }
    /// \returns whether the next request should be delayed, so that one answer contains more updates.
    bool shouldPause() const { return m_shouldPause; }

    /// \returns the known records up to the position that are all of this key; empty if the last one is of another key.
    std::optional<RecordSpan> spanOf(const std::string& key) const;

    /// Skips records that are all of this key and whose outcome another node has forwarded, if they adjoin the position.
    /// \returns whether the position has moved.
    bool skip(const std::string& key, const RecordSpan&);

    /// May be called while no request is pending and nothing known is left to read: the next request need not be a listing, even
    /// if a key changed fast.
    void onIdle() { m_isBusy = false; }

    /// \returns whether an answer can be used. One of an earlier era cannot, and neither can an answer to a read if it is of a
    /// later era than the position that was read from: it lacks the records before that position.
    bool accepts(const KeyedBatch& batch) const { return batch.era == m_era || (needsListing() && batch.era > m_era); }

    /// Processes the answer to a listing or a read, which must be acceptable.
    /// \returns for each key the records that are newer than the known ones, ordered by the newest offset of each key.
    std::vector<KeyUpdates> onBatch(const KeyedBatch&);

    /// Must be called if none of the key's updates can be used. If they came from a listing, the records that the listing
    /// omitted are read.
    void onRefused(const KeyUpdates&);

    /// Must be called when the store no longer keeps the record at \c nextRead.
    void onTrimmed()
    {
        m_needsListing = true;
        m_isRereading = false;
        m_skippedEnd = 0;
    }

    /// Must be called when a connection was lost; a listing provides the records written in the meantime.
    void onInterrupted() { m_needsListing = true; }

    /// Reports the store's era.
    /// \returns whether it is later than the known one, so that everything that is known of the stream was dropped.
    bool onEra(StoreEra);

private:
    /// Records of one key that end at the position.
    struct Run {
        std::string key;
        Offset since = 0;
    };

    std::vector<KeyUpdates> collectUpdates(const KeyedBatch&);
    void extendRun(const KeyedBatch&, bool isListing);
    void planNext(bool wasListing, const std::vector<KeyUpdates>&);
    bool isRefused(const KeyedRecord&) const;
    /// \returns whether a newer record has replaced the refused one, so that the omitted ones are not needed.
    bool hasSuccessor(const std::vector<KeyUpdates>&) const;

    StoreEra m_era;
    /// The newest known offset of each key.
    std::map<std::string, Offset> m_newest;
    /// The newest known offsets before the last answer, and the offset from which reading would have continued before the
    /// last listing; the offset is empty after a read.
    std::map<std::string, Offset> m_previousNewest;
    std::optional<Offset> m_previousNextRead;
    /// The record of the last refusal, without its value.
    std::optional<KeyedRecord> m_refused;
    /// Records are being read that the listing with the refused record omitted. They may take several reads; a listing in
    /// between does not contain them.
    bool m_isRereading = false;
    Offset m_nextRead = 0;
    /// The end of the records that were skipped since the last answer; answers that were on their way do not lead back before it.
    Offset m_skippedEnd = 0;
    std::optional<Run> m_run;
    bool m_needsListing = true;
    bool m_shouldPause = false;
    bool m_caughtUp = false;
    /// A key was replaced more than once between two requests.
    bool m_isBusy = false;
};

}
