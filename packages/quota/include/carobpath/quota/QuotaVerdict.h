#pragma once

#include <chrono>

namespace carobpath::quota {

/// Whether a call is within the quota of its workspace.
struct QuotaVerdict {
    bool isAdmitted = false;
    /// Time after which the caller of a refused call may come back.
    std::chrono::milliseconds retryAfter {};

    friend bool operator==(const QuotaVerdict&, const QuotaVerdict&) = default;
};

}
