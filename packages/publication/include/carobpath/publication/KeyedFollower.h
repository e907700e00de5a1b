#pragma once

#include "carobpath/publication/KeyedStore.h"

#include <unordered_map>
#include <vector>

namespace carobpath::publication {

/// Decides how a reader of a keyed stream learns the newest record of each key and stays up to date: a listing first, then
/// the records after it; a new listing where records that it wants were deleted, or the stream was made anew.
/// Knows no store: what to ask is said by \c wantsListing and \c nextRead.
class KeyedFollower {
public:
    /// \returns whether a listing is to be asked for, rather than a read from \c nextRead.
    bool wantsListing() const { return m_wantsListing; }
    Offset nextRead() const { return m_nextRead; }
    /// \returns whether the whole stream was seen at least once.
    bool caughtUp() const { return m_caughtUp; }

    /// Takes a listing or what a read gave.
    /// \returns the records that are newer than what was known of their keys, in the order of their offsets.
    std::vector<KeyedRecord> onBatch(const KeyedBatch&);

    /// The record wanted is no longer kept.
    void onTrimmed() { m_wantsListing = true; }

    /// A connection was lost; what was written meanwhile is learnt by a listing.
    void onInterrupted() { m_wantsListing = true; }

private:
    std::unordered_map<std::string, Offset> m_newest;
    Offset m_nextRead = 0;
    bool m_wantsListing = true;
    bool m_caughtUp = false;
};

}
