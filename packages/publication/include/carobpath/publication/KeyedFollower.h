#pragma once

#include "carobpath/publication/KeyedStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::publication {

/// Records of one key that are news, the newest first: one that is refused leaves the one before it in force.
using KeyUpdates = std::vector<KeyedRecord>;

/// Decides how a reader of a keyed stream learns the newest record of each key and stays up to date: a listing first, then
/// the records after it; a new listing where records that it wants were deleted, or the stream was made anew.
/// While a key changes faster than the reader asks, it is asked for by listings, which leave out what was replaced: the
/// load that this answers is a series of large records that nobody needs but the last.
/// Knows no store: what to ask is said by \c needsListing and \c nextRead.
class KeyedFollower {
public:
    /// \returns whether a listing is to be asked for, rather than a read from \c nextRead.
    bool needsListing() const { return m_wantsListing; }
    Offset nextRead() const { return m_nextRead; }
    /// \returns whether the next question is better asked after a pause, so that more news is taken together.
    bool shouldPause() const { return m_wantsPause; }

    /// Takes a listing or what a read gave.
    /// \returns what is newer than what was known of each key, in the order of the newest.
    std::vector<KeyUpdates> onBatch(const KeyedBatch&);

    /// None of the key's news can be used. Where a listing gave it, the records that the listing left out are read.
    void onRefused(const KeyUpdates&);

    /// The record wanted is no longer kept.
    void onTrimmed() { m_wantsListing = true; }

    /// A connection was lost; what was written meanwhile is learnt by a listing.
    void onInterrupted() { m_wantsListing = true; }

private:
    std::vector<KeyUpdates> takeNews(const KeyedBatch&);
    void planNext(bool wasListing, const std::vector<KeyUpdates>&);

    /// The newest offset known of each key.
    std::map<std::string, Offset> m_newest;
    /// The same before the last listing, and where reading would have gone on; nothing after a read.
    std::map<std::string, Offset> m_newestBefore;
    std::optional<Offset> m_readBefore;
    std::optional<Offset> m_refused;
    Offset m_nextRead = 0;
    bool m_wantsListing = true;
    bool m_wantsPause = false;
    bool m_caughtUp = false;
    /// A key was replaced more than once between two questions.
    bool m_isBusy = false;
};

}
