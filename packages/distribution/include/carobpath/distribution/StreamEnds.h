#pragma once

#include "carobpath/publication/StoreEra.h"

#include <string>
#include <vector>

namespace carobpath::distribution {

/// A stream of the platform's log has reached at least this position.
struct StreamEnd {
    std::string stream;
    publication::StreamPosition end;

    friend bool operator==(const StreamEnd&, const StreamEnd&) = default;
};

/// The furthest known ends of streams.
class StreamEnds {
public:
    /// Streams beyond this number are ignored, since a peer may send any names.
    static constexpr std::size_t s_maxStreams = 8;

    /// \returns whether the end is further than the known one.
    bool advance(const StreamEnd&);
    const std::vector<StreamEnd>& all() const { return m_ends; }

private:
    std::vector<StreamEnd> m_ends;
};

}
