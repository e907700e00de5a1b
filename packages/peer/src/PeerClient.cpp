#include "carobpath/peer/PeerClient.h"

#include "internal/PeerConnection.h"
#include "internal/ReadMessage.h"

#include <boost/asio/post.hpp>

#include <unordered_map>

namespace carobpath::peer {

namespace {

    using distribution::PeerMessage;
    using distribution::StateSnapshot;

    constexpr std::chrono::seconds sweepInterval { 5 };
    constexpr auto lastAnswer = static_cast<std::uint8_t>(routing::ClaimStatus::Unavailable);

    kj::StringPtr textOf(const std::string& text)
    {
        return { text.c_str(), text.size() };
    }

    /// Reports a message that was read, or the reason why it was refused.
    template <typename Message, typename Reader>
    void complete(const Completion<Message>& completion, Reader reader)
    {
        auto message = readMessage<Message>(reader);
        if (auto* it = std::get_if<Message>(&message))
            completion.done(std::move(*it));
        else
            completion.failed(PeerError { PeerFault::MalformedAnswer });
    }

    routing::ClaimResult verdictOf(std::uint8_t answer, std::uint32_t retryAfterMilliseconds)
    {
        routing::ClaimResult verdict;
        verdict.answer = static_cast<routing::ClaimStatus>(answer);
        if (retryAfterMilliseconds > 0)
            verdict.retryAfter = std::chrono::milliseconds { retryAfterMilliseconds };
        return verdict;
    }

}

struct PeerClient::Impl : std::enable_shared_from_this<Impl> {
    Impl(std::shared_ptr<PeerRuntime> it, std::mt19937_64 seeded)
        : runtime(std::move(it))
        , random(std::make_shared<std::mt19937_64>(seeded))
        , timer(runtime->context())
    {
    }

    void submit(const Endpoint& endpoint, PeerCall call)
    {
        if (stopped || callsUnderWay() >= s_maxCalls) {
            const auto fault = stopped ? PeerFault::Disconnected : PeerFault::TooManyCalls;
            boost::asio::post(runtime->context(), [failed = std::move(call.failed), fault] { failed(PeerError { fault }); });
            return;
        }
        connectionTo(endpoint)->submit(std::move(call));
    }

    std::size_t callsUnderWay() const
    {
        std::size_t count = 0;
        for (const auto& [endpoint, connection] : connections)
            count += connection->calls();
        return count;
    }

    std::shared_ptr<PeerConnection> connectionTo(const Endpoint& endpoint)
    {
        const auto it = connections.find(endpoint);
        if (it != connections.end())
            return it->second;
        if (connections.size() >= s_maxConnections)
            closeLeastUsed();
        return connections.emplace(endpoint, std::make_shared<PeerConnection>(runtime, endpoint, random)).first->second;
    }

    void closeLeastUsed()
    {
        auto least = connections.end();
        for (auto it = connections.begin(); it != connections.end(); ++it) {
            if (it->second->calls() > 0)
                continue;
            if (least == connections.end() || it->second->lastUsed() < least->second->lastUsed())
                least = it;
        }
        if (least != connections.end())
            drop(least);
    }

    using Connections = std::unordered_map<Endpoint, std::shared_ptr<PeerConnection>>;

    /// A connection is not destroyed within one of its own events.
    Connections::iterator drop(Connections::iterator it)
    {
        runtime->dispose(it->second);
        return connections.erase(it);
    }

    void sweep()
    {
        timer.expires_after(sweepInterval);
        timer.async_wait([self = weak_from_this()](const boost::system::error_code& ec) {
            const auto it = self.lock();
            if (ec || !it || it->stopped)
                return;
            it->dropIdle();
            it->sweep();
        });
    }

    void dropIdle()
    {
        const auto now = MonotonicClock::now();
        for (auto it = connections.begin(); it != connections.end();) {
            const bool idle = it->second->calls() == 0 && now - it->second->lastUsed() >= s_idleTimeout;
            it = idle ? drop(it) : std::next(it);
        }
    }

    void stop()
    {
        stopped = true;
        timer.cancel();
        const auto open = std::exchange(connections, {});
        for (const auto& [endpoint, connection] : open)
            connection->close(PeerFault::Disconnected);
    }

    std::shared_ptr<PeerRuntime> runtime;
    std::shared_ptr<std::mt19937_64> random;
    boost::asio::steady_timer timer;
    Connections connections;
    bool stopped = false;
};

PeerClient::PeerClient(std::shared_ptr<PeerRuntime> runtime, std::mt19937_64 random)
    : m_impl(std::make_shared<Impl>(std::move(runtime), random))
{
    m_impl->sweep();
}

PeerClient::~PeerClient()
{
    try {
        m_impl->stop();
    } catch (...) {
        // What could not be closed in order is closed by the destruction of its parts.
        m_impl->stopped = true;
    }
}

void PeerClient::exchange(const Endpoint& endpoint, const PeerMessage& message, const Completion<PeerMessage>& completion)
{
    auto send = [message, completion](schema::Peer::Client& peer) {
        auto request = peer.exchangeRequest();
        write(message, request.initMessage());
        return request.send().then([completion](auto&& response) { complete(completion, response.getReply()); });
    };
    m_impl->submit(endpoint, PeerCall { std::move(send), completion.failed, s_exchangeTimeout });
}

void PeerClient::deliver(const Endpoint& endpoint, const PeerMessage& message)
{
    auto send = [message](schema::Peer::Client& peer) {
        auto request = peer.deliverRequest();
        write(message, request.initMessage());
        return request.send().ignoreResult();
    };
    m_impl->submit(endpoint, PeerCall { std::move(send), [](PeerError) {}, s_deliverTimeout });
}

void PeerClient::reportCrashes(const Endpoint& endpoint, const routing::CrashUpdate& update, const Completion<CrashesReported>& completion)
{
    auto send = [update, completion](schema::Peer::Client& peer) {
        auto request = peer.reportCrashesRequest();
        write(update, request.initUpdate());
        return request.send().then([completion](auto&&) { completion.done(CrashesReported {}); });
    };
    m_impl->submit(endpoint, PeerCall { std::move(send), completion.failed, s_deliverTimeout });
}

void PeerClient::fetchWhole(const Endpoint& endpoint, distribution::FetchScope scope, const Completion<StateSnapshot>& completion)
{
    auto send = [scope, completion](schema::Peer::Client& peer) {
        auto request = peer.fetchWholeRequest();
        request.setWithoutConfiguration(scope == distribution::FetchScope::AllButConfiguration);
        return request.send().then([completion](auto&& response) {
            const auto state = response.getState();
            if (!state.getServed())
                completion.failed(PeerError { PeerFault::Busy });
            else
                complete(completion, state);
        });
    };
    m_impl->submit(endpoint, PeerCall { std::move(send), completion.failed, s_fetchTimeout });
}

void PeerClient::claim(const Endpoint& endpoint, const ClaimRequest& claim, const Completion<routing::ClaimResult>& completion)
{
    auto send = [claim, completion](schema::Peer::Client& peer) {
        auto request = peer.claimRequest();
        request.setKey(textOf(claim.key.value()));
        request.setRoute(textOf(claim.route.value()));
        request.setRequestId(textOf(claim.requestId.value()));
        request.setTimeoutMilliseconds(static_cast<std::uint32_t>(claim.timeout.count()));
        return request.send().then([completion](auto&& response) {
            if (response.getVerdict() > lastAnswer)
                completion.failed(PeerError { PeerFault::MalformedAnswer });
            else
                completion.done(verdictOf(response.getVerdict(), response.getRetryAfterMilliseconds()));
        });
    };
    m_impl->submit(endpoint, PeerCall { std::move(send), completion.failed, claim.timeout });
}

void PeerClient::endClaim(const Endpoint& endpoint, const EndRequest& end, const Completion<ClaimEnded>& completion)
{
    auto send = [end, completion](schema::Peer::Client& peer) {
        auto request = peer.endClaimRequest();
        request.setKey(textOf(end.key.value()));
        request.setRoute(textOf(end.route.value()));
        request.setRequestId(textOf(end.requestId.value()));
        request.setOutcome(static_cast<std::uint8_t>(end.outcome));
        return request.send().then([completion](auto&&) { completion.done(ClaimEnded {}); });
    };
    m_impl->submit(endpoint, PeerCall { std::move(send), completion.failed, s_endTimeout });
}

void PeerClient::reportUsage(const Endpoint& endpoint, const quota::UsageMessage& message, const Completion<quota::QuotaGrants>& completion)
{
    auto send = [message, completion](schema::Peer::Client& peer) {
        auto request = peer.reportUsageRequest();
        write(message, static_cast<schema::Peer::ReportUsageParams::Builder&>(request));
        return request.send().then([completion](auto&& response) { complete(completion, static_cast<schema::Peer::ReportUsageResults::Reader&>(response)); });
    };
    m_impl->submit(endpoint, PeerCall { std::move(send), completion.failed, s_usageTimeout });
}

void PeerClient::stop()
{
    m_impl->stop();
}

}
