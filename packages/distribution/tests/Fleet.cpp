#include "Fleet.h"

#include "carobpath/publication/Codec.h"

#include <algorithm>
#include <ctime>

namespace carobpath::distribution {

namespace {

    constexpr std::uint16_t firstPort = 1000;
    constexpr std::chrono::milliseconds logDelay { 5 };
    constexpr std::chrono::milliseconds longPoll { 2000 };

    std::chrono::nanoseconds cpuNow()
    {
        timespec now {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        return std::chrono::seconds { now.tv_sec } + std::chrono::nanoseconds { now.tv_nsec };
    }

    membership::NodeEntry entryOf(std::size_t node, std::size_t domain)
    {
        membership::NodeEntry entry;
        entry.name = NodeName { "booking-" + std::to_string(node) };
        entry.region = RegionName { domain % 2 == 0 ? "jordan" : "ghana" };
        entry.domain = FailureDomainName { "domain-" + std::to_string(domain) };
        const auto port = static_cast<std::uint16_t>(firstPort + node);
        entry.addresses = { { "10.0.0.1", 1 }, { "10.0.0.1", 2 }, { "10.0.0.1", port }, { "10.0.0.1", 3 } };
        entry.upstream = membership::Upstream { ServiceName { "booking" }, VersionName { "booking-1" }, 6, 130, membership::UpstreamState::Ready, 0, 0 };
        return entry;
    }

}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_now(std::chrono::hours { 1 })
    , m_nodes(m_options.nodes)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        m_nodes[i].entry = entryOf(i, domainOf(i));
}

void Fleet::run(std::chrono::milliseconds duration)
{
    const auto end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

std::optional<std::chrono::milliseconds> Fleet::runUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds step { 20 };
    const auto begin = m_now;
    while (!condition()) {
        if (m_now - begin >= limit)
            return std::nullopt;
        run(step);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_now - begin);
}

publication::ConfigurationPointer Fleet::makeVersion(publication::Offset offset) const
{
    auto version = std::make_shared<publication::ConfigurationVersion>();
    if (!m_log.empty())
        version->set = m_log.back()->set;
    for (std::size_t i = 0; m_log.empty() && i < m_options.services; ++i) {
        publication::ServiceEntry service;
        service.service.name = ServiceName { "service-" + std::to_string(i) };
        service.service.member = MemberName { "petra" };
        service.service.initialVersion = VersionName { "booking-1" };
        service.service.hosts = { service.service.name.value() + ".petra.example" };
        service.currentVersion = service.service.initialVersion;
        version->set.services.emplace(service.service.name, service);
        for (std::size_t j = 0; j < m_options.routesPerService; ++j) {
            publication::RouteEntry route;
            route.route.name = RouteName { service.service.name.value() + "-" + std::to_string(j) };
            route.route.member = service.service.member;
            route.route.service = service.service.name;
            route.route.pathPrefix = "/" + std::to_string(j);
            version->set.routes.emplace(route.route.name, route);
        }
    }
    auto changed = version->set.routes.begin();
    std::advance(changed, static_cast<std::ptrdiff_t>(offset % version->set.routes.size()));
    changed->second.changedAt = offset;
    version->stamp = { offset, digestOf(version->set) };
    return version;
}

publication::Offset Fleet::publish() { return append(makeVersion(m_log.empty() ? 0 : newest() + 1)); }

publication::Offset Fleet::publishWholeChange()
{
    auto version = std::make_shared<publication::ConfigurationVersion>(*m_log.back());
    for (auto& [name, entry] : version->set.routes)
        entry.changedAt = newest() + 1;
    version->stamp = { newest() + 1, digestOf(version->set) };
    return append(std::move(version));
}

publication::Offset Fleet::append(publication::ConfigurationPointer version)
{
    m_log.push_back(std::move(version));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].reading)
            readLog(i, m_nodes[i].incarnation, false);
    }
    return newest();
}

void Fleet::start(std::size_t node)
{
    Node& it = m_nodes[node];
    ++it.incarnation;
    it.entry.revision = { Incarnation { static_cast<std::uint64_t>(m_now.time_since_epoch().count()) }, 0 };
    it.evidence = std::make_shared<FakeEvidence>();
    std::vector<Endpoint> seedEndpoints;
    for (std::size_t i = 0; i < std::min(m_options.seeds, m_nodes.size()); ++i)
        seedEndpoints.push_back(m_nodes[i].entry.addresses.peer);
    auto port = makeEvidencePort<std::uint64_t>(*it.evidence, [store = it.evidence](const auto& update) { store->merge(update); });
    it.engine = std::make_unique<GossipEngine>(
        it.entry, seedEndpoints, [this](const auto& set) { return digestOf(set); }, std::move(port), std::mt19937_64(m_random()), m_now);
    it.engine->setEachNodeReads(m_options.eachNodeReads);
    if (m_options.withoutVersionFloor)
        execute(node, it.engine->onLogEnd(m_now));
    const auto phase = std::uniform_int_distribution<std::int64_t>(0, 100'000)(m_random);
    tickLater(node, it.incarnation, std::chrono::microseconds { phase });
}

void Fleet::startAll()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
}

Digest Fleet::digestOf(const publication::ConfigurationSet& set) const
{
    return m_options.withoutDigests ? Digest {} : publication::digestOfSet(set);
}

std::size_t Fleet::runningNodes() const
{
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& it) { return it.engine != nullptr; }));
}

void Fleet::kill(std::size_t node)
{
    Node& it = m_nodes[node];
    ++it.incarnation;
    it.engine.reset();
    it.deferred.clear();
    it.paused = false;
    it.reading = false;
    it.ready = false;
    it.active.reset();
}

void Fleet::pause(std::size_t node)
{
    m_nodes[node].paused = true;
}

void Fleet::resume(std::size_t node)
{
    m_nodes[node].paused = false;
    for (const auto& action : std::exchange(m_nodes[node].deferred, {}))
        action();
}

void Fleet::setUpstream(std::size_t node, membership::UpstreamState state)
{
    auto upstream = *m_nodes[node].entry.upstream;
    upstream.state = state;
    execute(node, engine(node).setUpstream(upstream, m_now));
}

publication::ConfigurationPointer Fleet::serving(std::size_t node) const
{
    return m_nodes[node].ready ? m_nodes[node].active : nullptr;
}

bool Fleet::allServe(publication::Offset offset) const
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!running(i) || m_nodes[i].paused)
            continue;
        const auto active = serving(i);
        if (!active || active->stamp.offset != offset)
            return false;
    }
    return true;
}

bool Fleet::allKnow(std::size_t live) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [live](const Node& it) { return !it.engine || it.engine->members().livePeers() + 1 == live; });
}

void Fleet::stopCounting()
{
    m_options.sizeOf = nullptr;
    m_options.sizeOfSnapshot = nullptr;
    m_options.measureCpu = false;
}

std::uint64_t Fleet::bytesSent() const
{
    std::uint64_t sum = 0;
    for (const auto& it : m_nodes)
        sum += it.bytes;
    return sum;
}

std::size_t Fleet::readers() const
{
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& it) { return it.reading; }));
}

void Fleet::schedule(std::chrono::microseconds delay, std::function<void()> action)
{
    m_events.push(Event { m_now + delay, ++m_eventNumber, std::move(action) });
}

void Fleet::at(std::size_t node, std::uint64_t incarnation, std::chrono::microseconds delay, Step it)
{
    schedule(delay, [this, node, incarnation, it = std::move(it)] { step(node, incarnation, it); });
}

void Fleet::step(std::size_t node, std::uint64_t incarnation, const Step& it)
{
    Node& target = m_nodes[node];
    if (target.incarnation != incarnation || !target.engine)
        return;
    if (target.paused) {
        target.deferred.push_back([this, node, incarnation, it] { step(node, incarnation, it); });
        return;
    }
    const auto begin = m_options.measureCpu ? cpuNow() : std::chrono::nanoseconds {};
    Commands commands = it(*target.engine);
    if (m_options.measureCpu)
        m_cpu += cpuNow() - begin;
    execute(node, std::move(commands));
}

void Fleet::tickLater(std::size_t node, std::uint64_t incarnation, std::chrono::microseconds delay)
{
    at(node, incarnation, delay, [this, node, incarnation](GossipEngine& it) {
        tickLater(node, incarnation, GossipEngine::s_tickInterval);
        return it.tick(m_now);
    });
}

void Fleet::execute(std::size_t node, Commands commands)
{
    for (auto& it : commands)
        execute(node, it);
}

void Fleet::execute(std::size_t node, Command& command)
{
    if (const auto* gossip = std::get_if<SendGossip>(&command))
        sendGossip(node, *gossip);
    else if (const auto* push = std::get_if<SendPush>(&command))
        sendPush(node, *push);
    else if (const auto* fetch = std::get_if<FetchSnapshot>(&command))
        fetchSnapshot(node, *fetch);
    else if (const auto* active = std::get_if<ActivateConfiguration>(&command))
        activate(node, active->configuration);
    else if (const auto* ready = std::get_if<SetReady>(&command))
        m_nodes[node].ready = ready->ready;
    else if (const auto* advanced = std::get_if<AdvanceStream>(&command))
        m_nodes[node].streamEnd = std::max(m_nodes[node].streamEnd, advanced->reached.end);
    else if (const auto* role = std::get_if<ReadLog>(&command)) {
        m_nodes[node].reading = role->enabled && m_options.electedNodesRead;
        if (m_nodes[node].reading)
            readLog(node, m_nodes[node].incarnation, true);
    }
}

void Fleet::activate(std::size_t node, const publication::ConfigurationPointer& version)
{
    Node& it = m_nodes[node];
    const auto offset = version->stamp.offset;
    if (it.highest && offset < *it.highest)
        m_violations.push_back(it.entry.name.value() + " reverted from " + std::to_string(*it.highest) + " to " + std::to_string(offset));
    if (offset >= m_log.size() || version->set != m_log[offset]->set)
        m_violations.push_back(it.entry.name.value() + " activated a set that was never published");
    it.highest = std::max(it.highest.value_or(0), offset);
    it.active = version;
}

void Fleet::readLog(std::size_t node, std::uint64_t incarnation, bool again)
{
    ++m_logReads;
    at(node, incarnation, logDelay, [this, node](GossipEngine& engine) {
        if (!logReachable(node) || m_log.empty())
            return Commands {};
        const bool newer = !engine.replica().current() || engine.replica().current()->stamp.offset < m_log.back()->stamp.offset;
        Commands commands = newer ? engine.onLogAdvanced(m_log.back(), m_now) : Commands {};
        for (auto& it : engine.onLogEnd(m_now))
            commands.push_back(std::move(it));
        return commands;
    });
    if (!again)
        return;
    schedule(longPoll, [this, node, incarnation] {
        if (m_nodes[node].incarnation == incarnation && m_nodes[node].reading)
            readLog(node, incarnation, true);
    });
}

void Fleet::deliverRead(std::size_t node, publication::Offset newest)
{
    step(node, m_nodes[node].incarnation, [this, newest](GossipEngine& it) { return it.onLogAdvanced(m_log[newest], m_now); });
}

void Fleet::reachEnd(std::size_t node, const StreamEnd& reached) { execute(node, engine(node).onStreamEnd(reached)); }

std::size_t Fleet::indexOf(const Endpoint& endpoint) const
{
    return endpoint.port - firstPort;
}

}
