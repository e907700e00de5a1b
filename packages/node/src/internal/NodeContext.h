#pragma once

#include "carobpath/foundation/EventLog.h"
#include "carobpath/foundation/HybridClock.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Log.h"
#include "carobpath/foundation/NodeSettings.h"
#include "carobpath/foundation/Time.h"

#include <boost/asio/io_context.hpp>

#include <random>

namespace carobpath::node::Detail {

/// What the parts of one daemon share.
struct NodeContext {
    boost::asio::io_context& io;
    const NodeSettings& settings;
    Incarnation incarnation;
    EventLog& events;
    HybridClock& clock;
    Logger& log;

    /// \returns a random source of its own for one part.
    std::mt19937_64 random() const;

    static Now now() { return Now { MonotonicClock::now(), wallNow() }; }
};

}
