#pragma once

#include "carobpath/foundation/Identifier.h"

#include <chrono>

namespace carobpath::membership {

/// How long calls of a service took lately at the upstreams of a failure domain. Nodes tell it each other.
struct AnswerTime {
    ServiceName service;
    std::chrono::milliseconds mean {};

    friend bool operator==(const AnswerTime&, const AnswerTime&) = default;
};

}
