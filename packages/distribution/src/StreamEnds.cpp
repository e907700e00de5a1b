#include "carobpath/distribution/StreamEnds.h"

#include <algorithm>

namespace carobpath::distribution {

bool StreamEnds::advance(const StreamEnd& reached)
{
    const auto known = std::find_if(m_ends.begin(), m_ends.end(), [&](const StreamEnd& it) { return it.stream == reached.stream; });
    if (known == m_ends.end()) {
        if (m_ends.size() >= s_maxStreams)
            return false;
        m_ends.push_back(reached);
        return true;
    }
    if (reached.end <= known->end)
        return false;
    known->end = reached.end;
    return true;
}

}
