#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/routing/CrashReport.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace carobpath::routing {

/// Times at which requests were last answered. Bounded: the oldest entries are removed.
class RecentFingerprints {
public:
    static constexpr std::size_t s_maxEntries = 4096;

    void add(Fingerprint, MonotonicTime now);
    std::optional<MonotonicTime> lastSeen(Fingerprint) const;

private:
    struct Seen {
        Fingerprint fingerprint = 0;
        MonotonicTime at;
    };

    std::deque<Seen> m_order;
    std::unordered_map<Fingerprint, MonotonicTime> m_last;
};

}
