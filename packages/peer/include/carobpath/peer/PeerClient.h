#pragma once

#include "carobpath/peer/PeerRuntime.h"
#include "carobpath/peer/PeerTypes.h"
#include "carobpath/quota/QuotaMessages.h"
#include "carobpath/routing/CrashReport.h"

#include <memory>
#include <random>

namespace carobpath::peer {

/// Calls other nodes. Keeps a connection to each peer that was called not long ago, and connects anew after a failure
/// with a delay of full jitter. A call that times out closes its connection, since that may have fallen silent.
class PeerClient {
public:
    /// Connections kept at a time; beyond it the one used least lately is closed.
    static constexpr std::size_t s_maxConnections = 64;
    /// A connection that was not used for this long is closed.
    static constexpr std::chrono::milliseconds s_idleTimeout { 30000 };
    static constexpr std::chrono::milliseconds s_exchangeTimeout { 1500 };
    static constexpr std::chrono::milliseconds s_deliverTimeout { 3000 };
    static constexpr std::chrono::milliseconds s_fetchTimeout { 10000 };
    static constexpr std::chrono::milliseconds s_endTimeout { 1000 };
    static constexpr std::chrono::milliseconds s_usageTimeout { 1000 };
    static constexpr std::chrono::milliseconds s_reconnectBase { 50 };
    static constexpr std::chrono::milliseconds s_reconnectCap { 2000 };
    /// Calls under way at a time, over all peers.
    static constexpr std::size_t s_maxCalls = 4096;

    PeerClient(std::shared_ptr<PeerRuntime>, std::mt19937_64);
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    void exchange(const Endpoint&, const distribution::PeerMessage&, const Completion<distribution::PeerMessage>&);
    /// Sends news; a failure is not reported, since the exchange makes it good.
    void deliver(const Endpoint&, const distribution::PeerMessage&);
    /// Fails with \c PeerFault::Busy where the peer serves too many others.
    void fetchWhole(const Endpoint&, distribution::FetchScope, const Completion<distribution::StateSnapshot>&);
    /// Gives up after the claim's own timeout.
    void claim(const Endpoint&, const ClaimRequest&, const Completion<routing::ClaimResult>&);
    void endClaim(const Endpoint&, const EndRequest&, const Completion<ClaimEnded>&);
    /// Tells of crashed backend servers. Done once the peer has taken the news in.
    void reportCrashes(const Endpoint&, const routing::CrashUpdate&, const Completion<CrashesReported>&);

    /// Reports calls of limited workspaces to the owner of their quotas.
    void reportUsage(const Endpoint&, const quota::UsageMessage&, const Completion<quota::QuotaGrants>&);

    /// Closes every connection; calls under way fail.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
