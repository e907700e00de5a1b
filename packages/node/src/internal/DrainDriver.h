#pragma once

#include "carobpath/foundation/NodeSettings.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/Gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace carobpath::node::Detail {

/// Brings the gateway to its end step by step: connections are announced to close, then no new ones are accepted, then
/// idle ones are closed, until no connection is open or the time of grace is over. Calls that have no answer shortly before it
/// is over are answered.
class DrainDriver {
public:
    DrainDriver(boost::asio::io_context&, gateway::Gateway&);

    /// \param ended called once, when no connection is open or the grace is over.
    void start(const NodeSettings::Drain&, std::function<void()> ended);

    /// \returns by when answers must have ended: calls that have none are answered then. Valid once started.
    MonotonicTime drainDeadline() const { return m_deadline; }

private:
    void check();
    void scheduleCheck();

    gateway::Gateway& m_gateway;
    boost::asio::steady_timer m_timer;
    std::function<void()> m_ended;
    MonotonicTime m_stopAcceptingAt;
    MonotonicTime m_closeIdleAt;
    MonotonicTime m_deadline;
    MonotonicTime m_giveUpAt;
};

}
