// The messages between the nodes of a simulated fleet, and the ways in which they get lost.
#include "Fleet.h"

#include <algorithm>

namespace carobpath::distribution {

namespace {

    /// Timeouts of the calls between nodes, and the time after which an unused connection is closed; as in peer::PeerClient.
    constexpr std::chrono::milliseconds gossipTimeout { 1500 };
    constexpr std::chrono::milliseconds pushTimeout { 3000 };
    constexpr std::chrono::milliseconds fetchTimeout { 10000 };
    constexpr std::chrono::milliseconds idleTimeout { 30000 };
    /// Time until a caller learns that no process listens.
    constexpr std::chrono::milliseconds refusedDelay { 1 };

}

PeerMessage Fleet::asReceived(const PeerMessage& message)
{
    PeerMessage copy = message;
    if (!copy.delta || copy.delta->routes.empty() || !chance(m_options.damagedDeltas))
        return copy;
    auto damaged = std::make_shared<Delta>(*copy.delta);
    damaged->routes.pop_back();
    copy.delta = std::move(damaged);
    return copy;
}

void Fleet::cut(std::size_t domain, bool logToo)
{
    m_cut.insert(domain);
    if (logToo)
        m_logCut.insert(domain);
}

void Fleet::sendGossip(std::size_t node, const SendGossip& it)
{
    count(node, m_options.sizeOf ? m_options.sizeOf(it.message) : 0);
    const std::size_t asked = indexOf(it.to);
    const std::uint64_t incarnation = m_nodes[node].incarnation;
    const bool refused = reachable(node, asked) && !running(asked);
    at(node, incarnation, refused ? refusedDelay : gossipTimeout, [this, id = it.id](GossipEngine& engine) { return engine.onFailed(id, m_now); });
    const int copies = chance(m_options.duplicates) ? 2 : 1;
    const bool isHeard = passes(node, asked, gossipTimeout);
    for (int i = 0; i < copies; ++i) {
        if (isHeard && !chance(m_options.loss))
            answer(asked, node, incarnation, it);
    }
}

void Fleet::answer(std::size_t asked, std::size_t asking, std::uint64_t askingIncarnation, const SendGossip& it)
{
    at(asked, m_nodes[asked].incarnation, delay(), [this, asked, asking, askingIncarnation, it](GossipEngine& engine) {
        Commands commands;
        const PeerMessage reply = engine.onGossip(it.message, m_now, commands);
        count(asked, m_options.sizeOf ? m_options.sizeOf(reply) : 0);
        if (reachable(asked, asking) && !chance(m_options.loss))
            at(asking, askingIncarnation, delay(), [this, id = it.id, reply = asReceived(reply)](GossipEngine& back) { return back.onReply(id, reply, m_now); });
        return commands;
    });
}

void Fleet::sendPush(std::size_t node, const SendPush& it)
{
    count(node, m_options.sizeOf ? m_options.sizeOf(it.message) : 0);
    const std::size_t to = indexOf(it.to);
    const int copies = chance(m_options.duplicates) ? 2 : 1;
    const bool isHeard = passes(node, to, pushTimeout);
    for (int i = 0; i < copies; ++i) {
        if (isHeard && !chance(m_options.loss))
            at(to, m_nodes[to].incarnation, delay(), [this, message = asReceived(it.message)](GossipEngine& engine) { return engine.onPush(message, m_now); });
    }
}

void Fleet::fetchSnapshot(std::size_t node, const FetchSnapshot& it)
{
    const std::size_t asked = indexOf(it.from);
    const std::uint64_t incarnation = m_nodes[node].incarnation;
    const bool refused = reachable(node, asked) && !running(asked);
    at(node, incarnation, refused ? refusedDelay : fetchTimeout, [this, id = it.id](GossipEngine& engine) { return engine.onFailed(id, m_now); });
    if (!passes(node, asked, fetchTimeout) || chance(m_options.loss))
        return;
    at(asked, m_nodes[asked].incarnation, delay(), [this, asked, node, incarnation, id = it.id, scope = it.scope](GossipEngine& engine) {
        auto state = engine.onFetch(scope, m_now);
        if (state)
            count(asked, m_options.sizeOfSnapshot ? m_options.sizeOfSnapshot(*state) : 0);
        if (reachable(asked, node)) {
            at(node, incarnation, delay(), [this, id, state = std::move(state)](GossipEngine& back) {
                return state ? back.onSnapshot(id, *state, m_now) : back.onBusy(id, m_now);
            });
        }
        return Commands {};
    });
}

void Fleet::count(std::size_t sender, std::size_t bytes)
{
    m_nodes[sender].bytes += bytes;
}

std::chrono::microseconds Fleet::delay()
{
    return std::chrono::microseconds { std::uniform_int_distribution<std::int64_t>(m_options.minDelay.count(), m_options.maxDelay.count())(m_random) };
}

bool Fleet::chance(double part)
{
    return part > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < part;
}

bool Fleet::reachable(std::size_t a, std::size_t b) const
{
    return domainOf(a) == domainOf(b) || !(m_cut.contains(domainOf(a)) || m_cut.contains(domainOf(b)));
}

bool Fleet::passes(std::size_t from, std::size_t to, std::chrono::milliseconds timeout)
{
    if (!reachable(from, to))
        return false;
    auto& it = m_connections[{ from, to }];
    if (it.closesAt && m_now >= *it.closesAt)
        it = Connection {};
    it.usedAt = m_now;
    if (!it.isSilent)
        return true;
    it.closesAt = std::min(it.closesAt.value_or(MonotonicTime::max()), m_now + timeout);
    return false;
}

void Fleet::silenceConnections(double share)
{
    for (auto& [nodes, it] : m_connections)
        it.isSilent = it.isSilent || (m_now - it.usedAt < idleTimeout && chance(share));
}

bool Fleet::logReachable(std::size_t node) const
{
    return m_logUp && !m_logCut.contains(domainOf(node));
}

}
