#include "internal/DirectoryDriver.h"

#include "carobpath/foundation/SettingParsers.h"

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };
    /// Stream with the peer address of each node, by its name.
    const std::string directoryStream = "carobpath-nodes";

    std::size_t aliveOthers(const membership::MembershipView& view, const NodeName& self)
    {
        return static_cast<std::size_t>(std::count_if(view.nodes.begin(), view.nodes.end(),
            [&](const auto& it) { return it.entry.name != self && it.liveness == membership::Liveness::Alive; }));
    }

}

DirectoryDriver::DirectoryDriver(NodeContext& context, platform::StoreClient& store, Endpoint peer, OnFound onFound)
    : m_context(context)
    , m_store(store)
    , m_peer(std::move(peer))
    , m_onFound(std::move(onFound))
    , m_plan(context.random(), MonotonicClock::now())
    , m_timer(context.io)
{
}

void DirectoryDriver::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void DirectoryDriver::leave()
{
    // An entry that is missing from a later listing must not be written again.
    stop();
    m_store.put(directoryStream, { 0, m_context.settings.name.value(), std::nullopt }, std::nullopt, [](const publication::AppendResult&) {
        // An entry that stays costs others one failed connection; the node's next run overwrites it.
    });
}

void DirectoryDriver::onView(const membership::MembershipView& view)
{
    m_plan.onLivePeersChanged(aliveOthers(view, m_context.settings.name), MonotonicClock::now());
}

void DirectoryDriver::onStoreReturned()
{
    m_isEntrySuspect = true;
    m_plan.onEntriesLost(MonotonicClock::now());
}

void DirectoryDriver::schedule()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_stopped)
            return;
        self->tick();
        self->schedule();
    });
}

void DirectoryDriver::tick()
{
    switch (m_plan.next(MonotonicClock::now())) {
    case membership::DirectoryStep::Register:
        registerSelf();
        break;
    case membership::DirectoryStep::List:
        list();
        break;
    case membership::DirectoryStep::Nothing:
        break;
    }
}

void DirectoryDriver::registerSelf()
{
    const publication::KeyedRecord entry { 0, m_context.settings.name.value(), toString(m_peer) };
    m_store.put(directoryStream, entry, std::nullopt, [self = shared_from_this()](const publication::AppendResult& result) {
        if (const auto* failure = std::get_if<publication::LogFailure>(&result))
            self->fail("register", *failure);
        else
            self->m_plan.onRegistered(MonotonicClock::now());
    });
}

void DirectoryDriver::list()
{
    m_store.listNewest(directoryStream, [self = shared_from_this()](const publication::KeyedResult& result) { self->onListed(result); });
}

void DirectoryDriver::onListed(const publication::KeyedResult& result)
{
    if (const auto* failure = std::get_if<publication::LogFailure>(&result)) {
        fail("list", *failure);
        return;
    }
    bool isSelfListed = false;
    std::vector<Endpoint> peers;
    for (const auto& record : std::get<publication::KeyedBatch>(result).records) {
        const auto parsed = parseEndpoint(record.value.value_or(std::string {}));
        const auto* endpoint = std::get_if<Endpoint>(&parsed);
        const bool isSelf = endpoint && *endpoint == m_peer;
        // Another address under this node's name is that of a later run, unless it comes from a copy.
        const bool isCurrent = isSelf || !m_isEntrySuspect;
        isSelfListed = isSelfListed || (isCurrent && record.key == m_context.settings.name.value());
        if (endpoint && endpoint->port != 0 && !isSelf)
            peers.push_back(*endpoint);
    }
    m_isEntrySuspect = m_isEntrySuspect && !isSelfListed;
    m_plan.onListed(isSelfListed, MonotonicClock::now());
    m_onFound(peers);
}

void DirectoryDriver::fail(std::string_view step, const publication::LogFailure& failure)
{
    m_plan.onFailed(MonotonicClock::now());
    m_context.events.record(Event(event::directoryFailed)
                                .with("step", step)
                                .with("error", publication::toString(failure.error))
                                .with("status", failure.status));
}

}
