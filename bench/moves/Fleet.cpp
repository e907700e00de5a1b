#include "moves/Fleet.h"

#include <algorithm>
#include <utility>

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;
    using publication::MoveOutcome;
    using publication::MoveReason;

    constexpr milliseconds publishedBefore { 5000 };
    constexpr publication::Offset earlierOffset = 3;
    constexpr publication::Offset moveOffset = 5;
    constexpr std::size_t entryOverhead = 24;
    constexpr std::size_t countBytes = 3;
    constexpr std::size_t noticeBytes = 160;

    NodeName nameOf(std::size_t node)
    {
        return NodeName { "node-" + std::to_string(node) };
    }

    /// Size of an update in a packed encoding, names written out.
    std::size_t sizeOf(const moves::EvidenceUpdate& update)
    {
        std::size_t n = update.notices.size() * noticeBytes;
        for (const auto& it : update.entries) {
            n += entryOverhead + it.observer.value().size() + it.move.value().size() + it.route.value().size() + it.version.value().size();
            n += 3 * countBytes;
            n += countBytes * static_cast<std::size_t>(std::count_if(it.counts.latency.begin(), it.counts.latency.end(), [](auto count) { return count != 0; }));
        }
        return n;
    }

}

Now Fleet::clocks(milliseconds sinceStart)
{
    return { MonotonicTime { 100h + sinceStart }, WallTime { 1000h + sinceStart } };
}

VersionName Fleet::versionOf(Pick pick)
{
    switch (pick) {
    case Pick::Old:
        return VersionName { "version-1" };
    case Pick::Earlier:
        return VersionName { "version-2" };
    case Pick::New:
        break;
    }
    return VersionName { "version-3" };
}

publication::MoveEntry Fleet::moveOf(const Scenario& scenario)
{
    const publication::Move move { MoveName { "move-2" }, MemberName { "member" }, scenario.service.name, versionOf(Pick::New),
        clocks({}).wall, clocks(scenario.length).wall, scenario.onThinEvidence };
    return { move, versionOf(Pick::Old), moveOffset, moveOffset, std::nullopt };
}

Fleet::Fleet(const Scenario& scenario, std::mt19937_64& random)
    : m_scenario(scenario)
    , m_random(random)
    , m_nodes(nodeCount)
{
    const bool hasEarlier = scenario.earlierMove > 0ms;
    if (hasEarlier) {
        const auto published = -scenario.earlierMove - publishedBefore;
        auto version = std::make_shared<publication::ConfigurationVersion>();
        auto entry = moveOf(scenario);
        entry.move.name = MoveName { "move-1" };
        entry.move.to = versionOf(Pick::Earlier);
        entry.move.startAt = clocks(-scenario.earlierMove).wall;
        entry.move.deadline = clocks(scenario.length).wall;
        entry.publishedAt = earlierOffset;
        version->stamp.offset = earlierOffset;
        version->set.services[scenario.service.name] = { { scenario.service.name, entry.move.member, entry.from, {} }, entry.from, 1 };
        version->set.moves[entry.move.name] = entry;
        m_configurations.push_back({ published, version });
    }
    publish(hasEarlier ? 0ms : -publishedBefore, hasEarlier, scenario.bothInForce == 0ms, std::nullopt);
    if (scenario.bothInForce > 0ms)
        publish(scenario.bothInForce, hasEarlier, true, std::nullopt);
    for (std::size_t i = 0; i < nodeCount; ++i)
        start(i, -scenario.earlierMove - publishedBefore);
}

void Fleet::publish(milliseconds at, bool hasEarlier, bool earlierEnded, std::optional<publication::MoveVerdict> verdict)
{
    auto version = std::make_shared<publication::ConfigurationVersion>();
    auto entry = moveOf(m_scenario);
    entry.verdict = std::move(verdict);
    const auto& service = m_scenario.service.name;
    const bool isDone = entry.verdict && entry.verdict->outcome == MoveOutcome::Done;
    version->stamp.offset = moveOffset + m_configurations.size();
    version->set.services[service] = { { service, entry.move.member, entry.from, {} }, isDone ? entry.move.to : entry.from, 1 };
    version->set.moves[entry.move.name] = entry;
    if (hasEarlier) {
        auto earlier = m_configurations.front().version->set.moves.begin()->second;
        if (earlierEnded)
            earlier.verdict = publication::MoveVerdict { MoveOutcome::Withdrawn, MoveReason::Replaced, {}, {} };
        version->set.moves[earlier.move.name] = earlier;
    }
    m_configurations.push_back({ at, version });
}

bool Fleet::draw(double probability)
{
    return std::uniform_real_distribution<double> {}(m_random) < probability;
}

void Fleet::start(std::size_t node, milliseconds now)
{
    auto& it = m_nodes[node];
    it = Node {};
    it.engine = std::make_unique<moves::MoveEngine>(nameOf(node), Incarnation { ++m_incarnations }, std::mt19937_64 { m_random() });
    std::vector<NodeName> names;
    for (std::size_t i = 0; i < nodeCount; ++i)
        names.push_back(nameOf(i));
    it.engine->onNodes(std::move(names));
    it.configurationDelay = milliseconds { std::uniform_int_distribution<std::int64_t> { 0, s_longestConfigurationDelayMillis }(m_random) };
    it.nextExchange = now + milliseconds { std::uniform_int_distribution<std::int64_t> { 0, s_exchangeInterval.count() }(m_random) };
}

bool Fleet::isUp(std::size_t node, milliseconds now) const
{
    return std::none_of(m_scenario.nodeFaults.begin(), m_scenario.nodeFaults.end(), [&](const NodeFault& it) {
        return it.node == node && it.isKilled && it.when.contains(now);
    });
}

bool Fleet::isCut(std::size_t node, milliseconds now) const
{
    return std::any_of(m_scenario.nodeFaults.begin(), m_scenario.nodeFaults.end(), [&](const NodeFault& it) {
        return it.node == node && it.when.contains(now);
    });
}

Pick Fleet::pick(std::size_t node, double random, milliseconds now) const
{
    const auto share = m_nodes[node].engine->trafficSplit(m_scenario.service.name, clocks(now));
    const auto chosen = random < share.nextShare && share.next ? *share.next : share.current;
    if (chosen == versionOf(Pick::New))
        return Pick::New;
    return chosen == versionOf(Pick::Earlier) ? Pick::Earlier : Pick::Old;
}

double Fleet::newShare(std::size_t node, milliseconds now) const
{
    const auto share = m_nodes[node].engine->trafficSplit(m_scenario.service.name, clocks(now));
    if (share.current == versionOf(Pick::New))
        return 1;
    return share.next == versionOf(Pick::New) ? share.nextShare : 0;
}

void Fleet::observe(std::size_t node, Pick pick, std::size_t route, const DrawnCall& call, milliseconds now)
{
    const auto& name = m_scenario.service.routes[route].name;
    m_nodes[node].engine->observe(m_scenario.service.name, name, versionOf(pick), call.result, call.latency, clocks(now));
}

void Fleet::send(std::size_t from, std::size_t to, moves::EvidenceUpdate update, milliseconds now)
{
    m_controlBytes += sizeOf(update);
    if (isCut(from, now) || isCut(to, now))
        return;
    const milliseconds delay { std::uniform_int_distribution<std::int64_t> { s_shortestDelayMillis, s_longestDelayMillis }(m_random) };
    m_messages.push_back({ now + delay, to, std::move(update) });
}

void Fleet::exchange(std::size_t from, milliseconds now)
{
    auto& it = m_nodes[from];
    for (std::size_t i = 0; i < s_exchangeFanout; ++i) {
        const auto to = (from + 1 + std::uniform_int_distribution<std::size_t> { 0, nodeCount - 2 }(m_random)) % nodeCount;
        // A lost update is sent again: the cursor moves with the peer's answer.
        auto cursor = it.cursors[to];
        auto update = it.engine->changedSince(cursor);
        if (update.entries.empty() && update.notices.empty())
            continue;
        if (isCut(from, now) || isCut(to, now) || draw(s_loss)) {
            m_controlBytes += sizeOf(update);
            continue;
        }
        it.cursors[to] = cursor;
        send(from, to, std::move(update), now);
    }
}

void Fleet::deliver(milliseconds now)
{
    std::vector<Message> waiting;
    for (auto& it : m_messages) {
        if (it.at > now)
            waiting.push_back(std::move(it));
        else if (m_nodes[it.to].isUp)
            m_nodes[it.to].engine->merge(it.update, clocks(now));
    }
    m_messages = std::move(waiting);
}

void Fleet::tick(std::size_t node, milliseconds now, LogModel& log)
{
    auto& it = m_nodes[node];
    while (it.configurations < m_configurations.size() && now >= m_configurations[it.configurations].at + it.configurationDelay)
        it.engine->onConfiguration(m_configurations[it.configurations++].version, clocks(now));
    for (const auto& command : it.engine->tick(clocks(now))) {
        if (const auto* append = std::get_if<moves::AppendVerdict>(&command)) {
            if (append->movePublishedAt == moveOffset && !isCut(node, now))
                log.append(append->verdict, now);
        } else if (const auto* spread = std::get_if<moves::BroadcastNotice>(&command)) {
            if (!m_foundAt && spread->notice.movePublishedAt == moveOffset)
                m_foundAt = now;
            for (std::size_t to = 0; to < nodeCount; ++to) {
                if (to != node && !draw(s_loss))
                    send(node, to, { {}, { spread->notice } }, now);
            }
        }
    }
    if (now >= it.nextExchange) {
        it.nextExchange += s_exchangeInterval;
        exchange(node, now);
    }
}

void Fleet::step(milliseconds now, LogModel& log)
{
    const bool isWithdrawn = m_scenario.withdrawnAt && now >= *m_scenario.withdrawnAt;
    if (!m_isEndPublished && (log.hasRecord(now) || isWithdrawn)) {
        m_isEndPublished = true;
        const publication::MoveVerdict withdrawn { MoveOutcome::Withdrawn, MoveReason::None, {}, {} };
        publish(now, m_scenario.earlierMove > 0ms, true, log.hasRecord(now) ? log.verdict() : withdrawn);
    }
    deliver(now);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const bool wasUp = m_nodes[i].isUp;
        const bool up = isUp(i, now);
        if (up && !wasUp)
            start(i, now);
        m_nodes[i].isUp = up;
        // Peers that were down ask from the beginning.
        for (auto& peer : m_nodes) {
            if (up && !wasUp)
                peer.cursors[i] = {};
        }
        if (up)
            tick(i, now, log);
    }
}

bool Fleet::isSettled(milliseconds now) const
{
    return m_isEndPublished && now >= m_configurations.back().at + milliseconds { s_longestConfigurationDelayMillis };
}

}
