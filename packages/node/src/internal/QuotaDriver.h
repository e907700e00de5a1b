#pragma once

#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/membership/NodeEntry.h"
#include "carobpath/peer/PeerClient.h"
#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/quota/QuotaGate.h"
#include "carobpath/quota/QuotaOwner.h"
#include "carobpath/quota/QuotaOwners.h"
#include "internal/NodeContext.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carobpath::node::Detail {

/// Carries the reports of this node's gate to the owners of the quotas, and the reports of other nodes to the owner here. Does
/// nothing while no workspace has a rate limit.
class QuotaDriver {
public:
    explicit QuotaDriver(NodeContext&);

    /// To be called before the first call enters.
    void setPeers(peer::PeerClient* peers) { m_peers = peers; }
    void setConfiguration(const publication::ConfigurationSet&);
    void setMembership(std::shared_ptr<const membership::MembershipView>);
    void stop();

    /// A call that entered here asks for its workspace's quota.
    void take(const routing::AwaitQuota&, gateway::QuotaHandler);
    void giveBack(const WorkspaceName&);

    /// Another node reports its calls. Answered later where this node relays the reports.
    void onPeerUsage(const quota::UsageMessage&, peer::UsageReply);

    /// \returns the workspaces whose quota this node owns, as JSON.
    std::string statusJson() const;

private:
    /// The answer to a peer whose reports are relayed to other nodes.
    struct PendingReply {
        peer::UsageReply reply;
        quota::QuotaGrants grants;
        std::size_t awaited = 0;
    };
    using ByOwner = std::map<NodeName, std::pair<quota::OwnerNode, quota::UsageMessage>>;
    /// A call that waits for its workspace's quota.
    struct Waiting {
        WorkspaceName workspace;
        gateway::QuotaHandler handler;
    };
    using WaitingCalls = std::unordered_map<quota::QuotaTicket, Waiting>;

    void answer(const WorkspaceName&, const gateway::QuotaHandler&, const quota::QuotaVerdict&);
    void recordRefusal(const WorkspaceName&);
    void scheduleTick();
    void tick();
    /// Sends reports once the events that are here already were dealt with, so that calls which enter together share one.
    void scheduleReports();
    void sendReports();
    void send(const quota::OwnerNode&, const quota::UsageMessage&);
    void reportHere(const quota::UsageMessage&);
    void relay(const quota::OwnerNode&, const quota::UsageMessage&, const std::shared_ptr<PendingReply>&);
    static void finishRelay(PendingReply&, const quota::QuotaGrants&);
    /// \returns the grants for reports of workspaces whose quota this node may own.
    quota::QuotaGrants grantsOf(const quota::UsageMessage&);
    void onGrants(const quota::UsageMessage&, const quota::QuotaGrants&);
    void onReportFailed(const quota::UsageMessage&);
    void answerDecided();

    NodeContext& m_context;
    peer::PeerClient* m_peers = nullptr;
    quota::QuotaGate m_gate;
    quota::QuotaOwner m_owner;
    quota::QuotaOwners m_owners;
    std::shared_ptr<const membership::MembershipView> m_view;
    WaitingCalls m_waiting;
    quota::QuotaTicket m_lastTicket = 0;
    boost::asio::steady_timer m_timer;
    MonotonicTime m_ownersUpdatedAt {};
    bool m_hasLimits = false;
    bool m_isTicking = false;
    bool m_reportsScheduled = false;
    bool m_stopped = false;
};

}
