#pragma once

#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/membership/NodeEntry.h"
#include "carobpath/peer/PeerClient.h"
#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/CrashQuarantine.h"
#include "internal/NodeContext.h"

#include <functional>
#include <memory>
#include <random>

namespace carobpath::node::Detail {

/// Brings crashes of the backend server to the quarantine, and spreads what the quarantine makes or learns: each news
/// goes to a few random nodes, each of which passes on what was news to it. Now and then all that is held goes to one
/// random node, for those that started later or that the news missed.
class QuarantineDriver {
public:
    explicit QuarantineDriver(NodeContext&);

    /// To be called before the first tick.
    void setPeers(peer::PeerClient* peers) { m_peers = peers; }
    void setMembership(std::shared_ptr<const membership::MembershipView> view) { m_view = std::move(view); }

    routing::CrashQuarantine& quarantine() { return m_quarantine; }

    /// Checks for the admission controller.
    routing::FingerprintChecks checks();

    void onBackend(const gateway::BackendObservation&);
    void onPeerUpdate(const routing::CrashUpdate&);

    /// To be called ten times a second.
    void onTick(routing::AdmissionController&);
    /// Takes crashes that the controller has found and spreads them at once.
    /// \param told called once the nodes that the news was sent to have it, or after \c s_longestTelling.
    void takeCrashes(routing::AdmissionController&, std::function<void()> told);

private:
    static constexpr std::size_t s_fanOut = 4;
    static constexpr std::chrono::milliseconds s_longestTelling { 200 };
    static constexpr std::chrono::seconds s_snapshotInterval { 5 };

    void spreadNews(std::function<void()> told);
    void sendToRandomNodes(const routing::CrashUpdate&, std::size_t count, std::function<void()> told);
    std::vector<Endpoint> otherNodes() const;

    NodeContext& m_context;
    routing::CrashQuarantine m_quarantine;
    std::mt19937_64 m_random;
    peer::PeerClient* m_peers = nullptr;
    std::shared_ptr<const membership::MembershipView> m_view;
    MonotonicTime m_snapshotAt;
};

}
