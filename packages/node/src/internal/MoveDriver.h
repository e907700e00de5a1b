#pragma once

#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/moves/MoveEngine.h"
#include "carobpath/platform/StoreClient.h"
#include "carobpath/publication/Keys.h"
#include "internal/NodeContext.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace carobpath::node::Detail {

/// Carries the commands of the move engine out: appends verdicts to the log, has notices spread, writes the time line.
class MoveDriver {
public:
    /// \param onNotice called when a notice must be spread at once.
    MoveDriver(NodeContext&, platform::StoreClient&, const publication::KeyPair& fleetKey, std::function<void()> onNotice);

    void start();
    void stop();

    moves::MoveEngine& engine() { return m_engine; }
    const moves::MoveEngine& engine() const { return m_engine; }

    void onConfiguration(const publication::ConfigurationPointer&);

    /// Counts a call that the backend server beside this node dealt with.
    void onBackend(const ServiceName&, const gateway::BackendObservation&);

private:
    static constexpr std::chrono::milliseconds s_tickInterval { 100 };

    void scheduleTick();
    void tick();
    void perform(const moves::AppendVerdict&);
    void perform(const moves::BroadcastNotice&);
    void perform(const moves::TrafficSplitChanged&);

    NodeContext& m_context;
    platform::StoreClient& m_log;
    publication::KeyPair m_fleetKey;
    std::function<void()> m_onNotice;
    moves::MoveEngine m_engine;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_recordSequence = 0;
};

}
