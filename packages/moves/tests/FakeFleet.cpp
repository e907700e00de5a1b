#include "FakeFleet.h"

#include <algorithm>

namespace carobpath::moves {

using namespace std::chrono_literals;
using publication::MoveOutcome;
using publication::MoveReason;
using publication::MoveVerdict;

namespace {

    const ServiceName service { "booking" };
    const VersionName oldVersion { "booking-1" };
    const VersionName newVersion { "booking-2" };
    const MoveName moveName { "to-2" };
    constexpr milliseconds tail { 60000 };

}

void FakeLog::append(const MoveVerdict& verdict, milliseconds now)
{
    if (std::any_of(outages.begin(), outages.end(), [&](const Span& it) { return it.contains(now); }))
        return;
    ++m_records;
    if (m_verdict && !lastRecordWins)
        return;
    if (!m_verdict || m_verdict->outcome != verdict.outcome)
        ++m_changes;
    if (!m_verdict)
        m_recordedAt = now;
    m_verdict = verdict;
}

FakeFleet::FakeFleet(milliseconds length, publication::ThinEvidencePolicy policy)
    : m_length(length)
    , m_policy(policy)
    , m_nodes(s_nodes)
{
    for (std::size_t i = 0; i < s_nodes; ++i)
        start(i);
}

Now FakeFleet::at(milliseconds sinceStart)
{
    return { MonotonicTime { 100h + sinceStart }, WallTime { 1000h + sinceStart } };
}

publication::MoveEntry FakeFleet::entry(milliseconds length, publication::ThinEvidencePolicy policy)
{
    const publication::Move move { moveName, MemberName { "petra" }, service, newVersion, at(0ms).wall, at(length).wall, policy };
    return { move, oldVersion, 5, 5, std::nullopt };
}

bool FakeFleet::isIn(const std::vector<Span>& spans, milliseconds now)
{
    return std::any_of(spans.begin(), spans.end(), [&](const Span& it) { return it.contains(now); });
}

bool FakeFleet::isRunning(std::size_t node, milliseconds now) const
{
    return !isIn(kills[node], now) && !isIn(pauses[node], now);
}

void FakeFleet::start(std::size_t node)
{
    m_nodes[node] = Node {};
    const Incarnation incarnation { ++m_incarnations };
    m_nodes[node].engine = std::make_unique<MoveEngine>(NodeName { "n" + std::to_string(node) }, incarnation, std::mt19937_64 { incarnation.value });
    std::vector<NodeName> names;
    for (std::size_t i = 0; i < s_nodes; ++i)
        names.emplace_back("n" + std::to_string(i));
    m_nodes[node].engine->onNodes(std::move(names));
    for (auto& peer : m_nodes)
        peer.cursors[node] = {};
}

publication::ConfigurationPointer FakeFleet::configurationAt(milliseconds now) const
{
    auto version = std::make_shared<publication::ConfigurationVersion>();
    auto move = entry(m_length, m_policy);
    version->stamp.offset = 5;
    if (withdrawnAt && now >= *withdrawnAt)
        move.verdict = MoveVerdict { MoveOutcome::Withdrawn, MoveReason::None, {}, {} };
    if (replacedAt && now >= *replacedAt) {
        move.verdict = MoveVerdict { MoveOutcome::Withdrawn, MoveReason::Replaced, {}, {} };
        auto next = entry(m_length, m_policy);
        next.move.name = MoveName { "to-3" };
        next.move.to = VersionName { "booking-3" };
        next.publishedAt = 7;
        version->set.moves[next.move.name] = next;
    }
    if (!move.verdict)
        move.verdict = log.verdictReadAt(now);
    if (move.verdict)
        version->stamp.offset = 8 + static_cast<publication::Offset>(move.verdict->outcome);
    const bool isDone = move.verdict && move.verdict->outcome == MoveOutcome::Done;
    version->set.services[service] = { { service, move.move.member, oldVersion, {} }, isDone ? newVersion : oldVersion, 1 };
    version->set.moves[moveName] = move;
    return version;
}

void FakeFleet::checkReport(std::size_t node, milliseconds now)
{
    const auto share = m_nodes[node].engine->trafficSplit(service, at(now));
    const auto report = m_nodes[node].engine->report(moveName, at(now));
    const double traffic = share.current == newVersion ? 1 : (share.next == newVersion ? share.nextShare : 0);
    const bool isAgreed = report && report->share == traffic && (report->state != MoveState::TakenBack || traffic == 0) && (report->state != MoveState::Done || traffic == 1);
    m_disagreements += isAgreed ? 0 : 1;
}

void FakeFleet::stepNode(std::size_t node, milliseconds now)
{
    auto& it = m_nodes[node];
    if (!isIn(cuts[node], now)) {
        for (const auto& verdict : std::exchange(it.delayedAppends, {}))
            log.append(verdict, now);
        const auto configuration = configurationAt(now);
        if (configuration->stamp.offset != it.configuration) {
            it.engine->onConfiguration(configuration, at(now));
            it.configuration = configuration->stamp.offset;
        }
    }
    for (const auto& command : it.engine->tick(at(now))) {
        const auto* append = std::get_if<AppendVerdict>(&command);
        if (!append || append->move != moveName)
            continue;
        const bool isPausedNext = isIn(pauses[node], now + s_step);
        if (isPausedNext)
            it.delayedAppends.push_back(append->verdict);
        else if (!isIn(cuts[node], now))
            log.append(append->verdict, now);
    }
    for (std::size_t to = 0; to < s_nodes; ++to) {
        if (to == node || isIn(cuts[node], now) || isIn(cuts[to], now) || !isRunning(to, now))
            continue;
        m_nodes[to].engine->merge(it.engine->changedSince(it.cursors[to]), at(now));
    }
    checkReport(node, now);
}

void FakeFleet::issueCalls(milliseconds now)
{
    std::uniform_real_distribution<double> part;
    for (int i = 0; i < callsPerStep; ++i) {
        const auto entryNode = m_random() % s_nodes;
        const auto to = m_random() % 2;
        const auto share = m_nodes[entryNode].engine->trafficSplit(service, at(now));
        const auto picked = part(m_random) < share.nextShare ? *share.next : share.current;
        const bool isNew = picked == newVersion;
        const auto admitting = (picked == oldVersion ? 0 : 2) + to;
        const bool isFailed = part(m_random) < (isNew ? newFailRate(now) : oldFailRate(now));
        if (!isRunning(entryNode, now) || !isRunning(admitting, now))
            continue;
        if (isNew && !log.verdict())
            ++m_admitted;
        if (isNew)
            m_newCalls.push_back(now);
        m_nodes[admitting].engine->observe(service, RouteName { "book" }, picked, isFailed ? CallResult::Failed : CallResult::Succeeded, 20ms, at(now));
    }
}

void FakeFleet::play()
{
    for (auto now = -1000ms; now < m_length + tail; now += s_step) {
        for (std::size_t i = 0; i < s_nodes; ++i) {
            const bool isUp = !isIn(kills[i], now);
            if (isUp && !m_nodes[i].isUp)
                start(i);
            m_nodes[i].isUp = isUp;
            if (isRunning(i, now))
                stepNode(i, now);
        }
        issueCalls(now);
    }
}

std::uint64_t FakeFleet::newCallsAfter(milliseconds time) const
{
    return static_cast<std::uint64_t>(std::count_if(m_newCalls.begin(), m_newCalls.end(), [&](milliseconds it) { return it > time; }));
}

std::uint64_t FakeFleet::evidenceOfNewCalls(std::size_t node) const
{
    const auto report = m_nodes[node].engine->report(moveName, at(m_length));
    return report && !report->routes.empty() ? report->routes.front().to.calls : 0;
}

}
