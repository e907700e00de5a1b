#pragma once

#include "carobpath/peer/PeerRuntime.h"
#include "carobpath/peer/PeerTypes.h"
#include "carobpath/quota/QuotaMessages.h"
#include "carobpath/routing/CrashReport.h"

#include <concepts>
#include <memory>
#include <optional>

namespace carobpath::peer {

/// What answers the calls of peers. \c onClaim and \c onUsage may answer later.
template <typename Handler>
concept PeerHandler = requires(Handler& handler, const distribution::PeerMessage& message, const ClaimRequest& claim, const EndRequest& end, const routing::CrashUpdate& crashes, const quota::UsageMessage& usage, distribution::FetchScope scope, ClaimReply reply, UsageReply usageReply)
{
    {
        handler.onExchange(message)
        } -> std::convertible_to<distribution::PeerMessage>;
    handler.onDeliver(message);
    {
        handler.onFetchWhole(scope)
        } -> std::convertible_to<std::optional<distribution::StateSnapshot>>;
    handler.onClaim(claim, reply);
    handler.onEndClaim(end);
    handler.onCrashes(crashes);
    handler.onUsage(usage, usageReply);
};

/// The calls of peers as functions.
struct PeerHooks {
    std::function<distribution::PeerMessage(const distribution::PeerMessage&)> onExchange;
    std::function<void(const distribution::PeerMessage&)> onDeliver;
    std::function<std::optional<distribution::StateSnapshot>(distribution::FetchScope)> onFetchWhole;
    std::function<void(const ClaimRequest&, ClaimReply)> onClaim;
    std::function<void(const EndRequest&)> onEndClaim;
    std::function<void(const routing::CrashUpdate&)> onCrashes;
    std::function<void(const quota::UsageMessage&, UsageReply)> onUsage;
    /// A message that breaks the protocol was refused.
    std::function<void(MessageError)> onMalformed;
};

/// \param handler must outlive the hooks.
template <PeerHandler Handler>
PeerHooks hooksOf(Handler& handler)
{
    PeerHooks hooks;
    hooks.onExchange = [&handler](const auto& message) { return handler.onExchange(message); };
    hooks.onDeliver = [&handler](const auto& message) { handler.onDeliver(message); };
    hooks.onFetchWhole = [&handler](distribution::FetchScope scope) { return handler.onFetchWhole(scope); };
    hooks.onClaim = [&handler](const auto& claim, ClaimReply reply) { handler.onClaim(claim, std::move(reply)); };
    hooks.onEndClaim = [&handler](const auto& end) { handler.onEndClaim(end); };
    hooks.onCrashes = [&handler](const auto& update) { handler.onCrashes(update); };
    hooks.onUsage = [&handler](const auto& usage, UsageReply reply) { handler.onUsage(usage, std::move(reply)); };
    return hooks;
}

/// Listens for peers and passes their calls on. A connection that breaks the protocol is closed.
class PeerServer {
public:
    /// Connections open at a time; a further one is closed at once.
    static constexpr std::size_t s_maxConnections = 1024;
    /// A connection without a byte from the peer for this long is closed.
    static constexpr std::chrono::milliseconds s_idleTimeout { 90000 };

    /// \param endpoint port 0 takes a free port.
    /// Throws boost::system::system_error where the endpoint cannot be bound.
    PeerServer(std::shared_ptr<PeerRuntime>, const Endpoint& endpoint, PeerHooks);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    /// \returns where it listens.
    Endpoint endpoint() const;
    /// Closes the listener and every connection.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
