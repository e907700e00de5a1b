#pragma once

#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/membership/NodeEntry.h"
#include "carobpath/peer/PeerClient.h"
#include "carobpath/platform/StoreClient.h"
#include "carobpath/routing/IdempotencyLedger.h"
#include "internal/NodeContext.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace carobpath::node::Detail {

/// Brings claims of idempotency keys to the owner of their partition, and carries the commands of the owner's ledger
/// out where this node is the owner. A claim whose owner can't be reached is decided here: the log's order decides, not
/// the ownership, which only saves reads and appends.
class LedgerDriver {
public:
    LedgerDriver(NodeContext&, platform::StoreClient&);

    /// To be called before the first claim.
    void setPeers(peer::PeerClient* peers) { m_peers = peers; }
    void setMembership(std::shared_ptr<const membership::MembershipView> view) { m_view = std::move(view); }
    void stop();

    /// A call that entered here asks for its key.
    void claim(const routing::AwaitClaimResult&, const RequestId&, gateway::LedgerHandler);
    /// A call that entered here and had asked for its key ended.
    void end(const IdempotencyKey&, const RouteName&, const RequestId&, routing::Outcome);

    /// Another node's call; this node was taken for the owner.
    void onPeerClaim(const peer::ClaimRequest&, gateway::LedgerHandler);
    void onPeerEnd(const peer::EndRequest&);

private:
    /// \returns nothing where this node decides.
    std::optional<Endpoint> ownerElsewhere(const routing::IntentKey&) const;
    void claimHere(const routing::IntentClaim&, gateway::LedgerHandler);
    void perform(const routing::LedgerCommands&);
    void perform(const routing::AppendIntents&);
    void perform(const routing::ReadIntents&);
    void perform(const routing::AnswerClaim&);
    void scheduleTick();

    static constexpr std::size_t s_readRecords = 1024;

    NodeContext& m_context;
    platform::StoreClient& m_log;
    routing::IdempotencyLedger m_ledger;
    peer::PeerClient* m_peers = nullptr;
    std::shared_ptr<const membership::MembershipView> m_view;
    std::unordered_map<RequestId, gateway::LedgerHandler> m_waiting;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
};

}
