#pragma once

#include "Peer.capnp.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/peer/PeerServer.h"

namespace carobpath::peer {

/// Answers the calls of one connection by the hooks.
class PeerService final : public schema::Peer::Server {
public:
    /// \param lastUsed set on each call.
    PeerService(std::shared_ptr<const PeerHooks>, std::shared_ptr<MonotonicTime> lastUsed);

    kj::Promise<void> exchange(ExchangeContext) override;
    kj::Promise<void> deliver(DeliverContext) override;
    kj::Promise<void> fetchWhole(FetchWholeContext) override;
    kj::Promise<void> claim(ClaimContext) override;
    kj::Promise<void> endClaim(EndClaimContext) override;
    kj::Promise<void> reportCrashes(ReportCrashesContext) override;
    kj::Promise<void> reportUsage(ReportUsageContext) override;

private:
    kj::Promise<void> refuse(MessageError) const;
    void touch() const;

    std::shared_ptr<const PeerHooks> m_hooks;
    std::shared_ptr<MonotonicTime> m_lastUsed;
};

}
