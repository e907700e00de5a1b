#include "carobpath/peer/ExchangeRunner.h"

#include "carobpath/publication/SetDigester.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <variant>

namespace carobpath::peer {

using distribution::Commands;
using distribution::GossipEngine;
using distribution::GossipId;
using distribution::PeerMessage;
using distribution::StateSnapshot;

struct ExchangeRunner::Builder::Parts {
    explicit Parts(std::shared_ptr<PeerRuntime> it)
        : runtime(std::move(it))
    {
    }

    std::shared_ptr<PeerRuntime> runtime;
    membership::NodeEntry self;
    Endpoint listen { "127.0.0.1", 0 };
    std::vector<Endpoint> seeds;
    std::mt19937_64 random { std::random_device {}() };
    distribution::EvidencePort evidence;
    RunnerCallbacks callbacks;
    bool eachNodeReads = false;
};

struct ExchangeRunner::Impl {
    explicit Impl(Builder::Parts& parts)
        : runtime(parts.runtime)
        , callbacks(std::move(parts.callbacks))
        , client(runtime, std::mt19937_64(parts.random()))
        , server(runtime, parts.listen, hooks())
        , timer(runtime->context())
    {
        parts.self.addresses.peer = server.endpoint();
        exchange = std::make_unique<GossipEngine>(std::move(parts.self), std::move(parts.seeds), digestFunction(), std::move(parts.evidence), parts.random, MonotonicClock::now());
        exchange->setEachNodeReads(parts.eachNodeReads);
    }

    static distribution::SetDigest digestFunction()
    {
        return [digester = std::make_shared<publication::SetDigester>()](const publication::ConfigurationSet& set) { return digester->digestOf(set); };
    }

    PeerHooks hooks()
    {
        PeerHooks it;
        it.onExchange = [this](const PeerMessage& request) { return answer(request); };
        it.onDeliver = [this](const PeerMessage& message) { takePush(message); };
        it.onFetchWhole = [this](distribution::FetchScope scope) { return exchange->onFetch(scope, MonotonicClock::now()); };
        it.onClaim = callbacks.onClaim;
        it.onEndClaim = callbacks.onEndClaim;
        it.onCrashes = callbacks.onCrashes;
        it.onUsage = callbacks.onUsage;
        it.onMalformed = callbacks.onMalformed;
        return it;
    }

    void scheduleTick()
    {
        timer.expires_after(GossipEngine::s_tickInterval);
        timer.async_wait([this, alive = std::weak_ptr<bool>(life)](const boost::system::error_code& ec) {
            if (ec || alive.expired())
                return;
            tick();
            if (!stopped)
                scheduleTick();
        });
    }

    void tick()
    {
        const auto begunAt = MonotonicClock::now();
        auto commands = exchange->tick(begunAt);
        const bool activates = std::any_of(commands.begin(), commands.end(), [](const auto& it) { return std::holds_alternative<distribution::ActivateConfiguration>(it); });
        run(std::move(commands));
        const auto now = MonotonicClock::now();
        if (activates)
            exchange->onActivated(now - begunAt, now);
    }

    PeerMessage answer(const PeerMessage& request)
    {
        hear(request);
        Commands commands;
        PeerMessage reply = exchange->onGossip(request, MonotonicClock::now(), commands);
        stamp(reply);
        runLater(std::move(commands));
        return reply;
    }

    void takePush(const PeerMessage& message)
    {
        hear(message);
        runLater(exchange->onPush(message, MonotonicClock::now()));
    }

    void hear(const PeerMessage& message)
    {
        heardAt = MonotonicClock::now();
        if (callbacks.onHybridTime)
            callbacks.onHybridTime(HybridTime { message.hybridMilliseconds, message.hybridCounter });
        if (callbacks.onAnswerTimes && !message.answerTimes.empty())
            callbacks.onAnswerTimes(message.from, message.answerTimes);
    }

    void stamp(PeerMessage& message) const
    {
        if (callbacks.answerTimes)
            message.answerTimes = callbacks.answerTimes();
        if (!callbacks.hybridNow)
            return;
        const HybridTime now = callbacks.hybridNow();
        message.hybridMilliseconds = now.milliseconds;
        message.hybridCounter = now.counter;
    }

    /// Commands run outside the event of the connection that brought them, so that a callback may stop the runner.
    void runLater(Commands commands)
    {
        if (commands.empty())
            return;
        boost::asio::post(runtime->context(), [this, alive = std::weak_ptr<bool>(life), it = std::move(commands)]() mutable {
            if (!alive.expired())
                run(std::move(it));
        });
    }

    void run(Commands commands)
    {
        for (auto& it : commands) {
            if (stopped)
                return;
            std::visit([this](auto& command) { execute(command); }, it);
        }
    }

    void execute(distribution::SendGossip& it)
    {
        stamp(it.message);
        Completion<PeerMessage> completion;
        completion.done = guarded<PeerMessage>([this, id = it.id](const PeerMessage& reply) {
            hear(reply);
            runLater(exchange->onReply(id, reply, MonotonicClock::now()));
        });
        completion.failed = failure(it.id);
        client.exchange(it.to, it.message, completion);
    }

    void execute(distribution::SendPush& it)
    {
        stamp(it.message);
        client.deliver(it.to, it.message);
    }

    void execute(const distribution::FetchSnapshot& it)
    {
        const auto sentAt = MonotonicClock::now();
        Completion<StateSnapshot> completion;
        completion.done = guarded<StateSnapshot>([this, id = it.id, peer = it.from, sentAt](const StateSnapshot& state) {
            reportFetch(peer, true, sentAt);
            runLater(exchange->onSnapshot(id, state, MonotonicClock::now()));
        });
        completion.failed = [report = guarded<PeerError>([this, peer = it.from, sentAt](PeerError) { reportFetch(peer, false, sentAt); }), failed = failure(it.id)](PeerError error) {
            report(error);
            failed(error);
        };
        client.fetchWhole(it.from, it.scope, completion);
    }

    void execute(const distribution::ReadLog& it) const
    {
        if (callbacks.onReaderRole)
            callbacks.onReaderRole(it.enabled);
    }

    void execute(const distribution::ActivateConfiguration& it) const
    {
        if (callbacks.onConfiguration)
            callbacks.onConfiguration(it.configuration);
    }

    void execute(const distribution::PublishView& it) const
    {
        if (callbacks.onView)
            callbacks.onView(it.view);
    }

    void execute(const distribution::SetReady& it) const
    {
        if (callbacks.onReady)
            callbacks.onReady(it.ready);
    }

    void execute(const distribution::AdvanceStream& it) const
    {
        if (callbacks.onStreamAdvanced)
            callbacks.onStreamAdvanced(it.reached);
    }

    void execute(const distribution::AwaitRecords& it) const
    {
        if (callbacks.onRecordsForwarded)
            callbacks.onRecordsForwarded(it.span);
    }

    void execute(const distribution::SkipRecords& it) const
    {
        if (callbacks.onRecordsAdopted)
            callbacks.onRecordsAdopted(it.span);
    }

    void reportFetch(const Endpoint& peer, bool succeeded, MonotonicTime sentAt) const
    {
        if (callbacks.onFetchEnded)
            callbacks.onFetchEnded({ peer, succeeded, std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicClock::now() - sentAt) });
    }

    std::function<void(PeerError)> failure(GossipId id)
    {
        return guarded<PeerError>([this, id](PeerError error) {
            const auto now = MonotonicClock::now();
            runLater(error.fault == PeerFault::Busy ? exchange->onBusy(id, now) : exchange->onFailed(id, now));
        });
    }

    /// Leaves the call out once the runner is gone or stopped.
    template <typename Argument, typename Function>
    std::function<void(Argument)> guarded(Function function)
    {
        return [this, alive = std::weak_ptr<bool>(life), function](const Argument& argument) {
            if (!alive.expired() && !stopped)
                function(argument);
        };
    }

    void stop()
    {
        stopped = true;
        timer.cancel();
        client.stop();
        server.stop();
    }

    std::shared_ptr<bool> life = std::make_shared<bool>(true);
    std::shared_ptr<PeerRuntime> runtime;
    RunnerCallbacks callbacks;
    std::unique_ptr<GossipEngine> exchange;
    PeerClient client;
    PeerServer server;
    boost::asio::steady_timer timer;
    MonotonicTime heardAt = MonotonicClock::now();
    bool stopped = false;
};

ExchangeRunner::ExchangeRunner(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ExchangeRunner::~ExchangeRunner()
{
    try {
        m_impl->stop();
    } catch (...) {
        // What could not be closed in order is closed by the destruction of its parts.
        m_impl->stopped = true;
    }
}

void ExchangeRunner::start()
{
    m_impl->run(m_impl->exchange->tick(MonotonicClock::now()));
    m_impl->scheduleTick();
}

void ExchangeRunner::stop()
{
    m_impl->stop();
}

Endpoint ExchangeRunner::endpoint() const
{
    return m_impl->exchange->members().self().addresses.peer;
}

void ExchangeRunner::publishConfiguration(publication::ConfigurationPointer folded, const std::optional<publication::RecordSpan>& span)
{
    m_impl->run(m_impl->exchange->onLogAdvanced(std::move(folded), MonotonicClock::now(), span));
}

void ExchangeRunner::reportLogEnd()
{
    m_impl->run(m_impl->exchange->onLogEnd(MonotonicClock::now()));
}

void ExchangeRunner::reportStreamEnd(const distribution::StreamEnd& reached)
{
    m_impl->run(m_impl->exchange->onStreamEnd(reached));
}

void ExchangeRunner::introduce(const std::vector<Endpoint>& found)
{
    m_impl->run(m_impl->exchange->addSeeds(found));
}

void ExchangeRunner::setUpstream(std::optional<membership::Upstream> upstream)
{
    m_impl->run(m_impl->exchange->setUpstream(std::move(upstream), MonotonicClock::now()));
}

void ExchangeRunner::reportCall(const NodeName& node, bool ok)
{
    m_impl->run(m_impl->exchange->onCall(node, ok, MonotonicClock::now()));
}

void ExchangeRunner::notifyEvidence()
{
    m_impl->run(m_impl->exchange->onEvidenceChanged(MonotonicClock::now()));
}

void ExchangeRunner::leave()
{
    m_impl->run(m_impl->exchange->leave(MonotonicClock::now()));
}

PeerClient& ExchangeRunner::client()
{
    return m_impl->client;
}

bool ExchangeRunner::ready() const
{
    return m_impl->exchange->ready();
}

MonotonicTime ExchangeRunner::heardAt() const { return m_impl->heardAt; }

const GossipEngine& ExchangeRunner::exchange() const
{
    return *m_impl->exchange;
}

ExchangeRunner::Builder::Builder(std::shared_ptr<PeerRuntime> runtime)
    : m_parts(std::make_unique<Parts>(std::move(runtime)))
{
}

ExchangeRunner::Builder::~Builder() = default;

ExchangeRunner::Builder& ExchangeRunner::Builder::self(membership::NodeEntry it)
{
    m_parts->self = std::move(it);
    return *this;
}

ExchangeRunner::Builder& ExchangeRunner::Builder::listen(Endpoint it)
{
    m_parts->listen = std::move(it);
    return *this;
}

ExchangeRunner::Builder& ExchangeRunner::Builder::seeds(std::vector<Endpoint> it)
{
    m_parts->seeds = std::move(it);
    return *this;
}

ExchangeRunner::Builder& ExchangeRunner::Builder::random(std::mt19937_64 it)
{
    m_parts->random = it;
    return *this;
}

ExchangeRunner::Builder& ExchangeRunner::Builder::evidence(distribution::EvidencePort it)
{
    m_parts->evidence = std::move(it);
    return *this;
}

ExchangeRunner::Builder& ExchangeRunner::Builder::callbacks(RunnerCallbacks it)
{
    m_parts->callbacks = std::move(it);
    return *this;
}

ExchangeRunner::Builder& ExchangeRunner::Builder::eachNodeReads(bool it)
{
    m_parts->eachNodeReads = it;
    return *this;
}

std::shared_ptr<ExchangeRunner> ExchangeRunner::Builder::build()
{
    return std::shared_ptr<ExchangeRunner>(new ExchangeRunner(std::make_unique<Impl>(*m_parts)));
}

}
