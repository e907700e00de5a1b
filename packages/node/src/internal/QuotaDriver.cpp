#include "internal/QuotaDriver.h"

#include "carobpath/foundation/EventNames.h"
#include "internal/SettingsConversions.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };
    /// Time after which nodes that have settled meanwhile are taken up as owners.
    constexpr std::chrono::milliseconds ownersInterval { 500 };
    /// Part of the limits that a node grants which sees fewer than half of the nodes alive: the others may have owners of
    /// their own.
    constexpr double minorityPart = 0.5;

    /// \returns the part of the limits that a node with this view may grant.
    double partOf(const membership::MembershipView& view)
    {
        const auto alive = std::count_if(view.nodes.begin(), view.nodes.end(), [](const auto& it) { return it.liveness == membership::Liveness::Alive; });
        const auto all = static_cast<std::ptrdiff_t>(view.nodes.size());
        if (2 * alive >= all)
            return 1;
        return minorityPart * static_cast<double>(alive) / static_cast<double>(all);
    }

    bool isLimited(const publication::ConfigurationSet& set)
    {
        return std::any_of(set.workspaces.begin(), set.workspaces.end(), [](const auto& it) { return it.second.workspace.limit.has_value(); });
    }

}

QuotaDriver::QuotaDriver(NodeContext& context)
    : m_context(context)
    , m_owner(quotaPolicyOf(context.settings), context.random())
    , m_timer(context.io)
{
}

void QuotaDriver::setConfiguration(const publication::ConfigurationSet& set)
{
    const auto now = MonotonicClock::now();
    m_hasLimits = isLimited(set);
    m_gate.setConfiguration(set);
    m_owner.setConfiguration(set, now);
    answerDecided();
    if (m_hasLimits && !m_isTicking)
        scheduleTick();
}

void QuotaDriver::setMembership(std::shared_ptr<const membership::MembershipView> view)
{
    const auto now = MonotonicClock::now();
    m_view = std::move(view);
    m_owners.update(*m_view, wallNow());
    m_owner.setPart(partOf(*m_view), now);
    m_gate.setNodes(m_view->nodes.size());
    m_ownersUpdatedAt = now;
}

void QuotaDriver::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_waiting.clear();
}

void QuotaDriver::take(const routing::AwaitQuota& await, gateway::QuotaHandler handler)
{
    const auto ticket = ++m_lastTicket;
    if (const auto verdict = m_gate.take(await.workspace, ticket, MonotonicClock::now())) {
        answer(await.workspace, handler, *verdict);
        return;
    }
    m_waiting.emplace(ticket, Waiting { await.workspace, std::move(handler) });
    scheduleReports();
}

void QuotaDriver::answer(const WorkspaceName& workspace, const gateway::QuotaHandler& handler, const quota::QuotaVerdict& verdict)
{
    if (!verdict.isAdmitted)
        recordRefusal(workspace);
    handler(verdict);
}

void QuotaDriver::recordRefusal(const WorkspaceName& workspace)
{
    const auto now = MonotonicClock::now();
    const auto basis = m_gate.basisOf(workspace, now);
    if (!basis)
        return;
    Event it(event::quotaRefused);
    it.with("workspace", workspace).with("mode", quota::toString(basis->mode)).with("reachable", basis->isOwnerReachable);
    if (const auto owner = m_owners.ownerOf(workspace, now))
        it.with("owner", owner->name);
    if (basis->answerAge)
        it.with("answerAgeMs", *basis->answerAge);
    m_context.events.record(it);
}

void QuotaDriver::giveBack(const WorkspaceName& workspace)
{
    m_gate.giveBack(workspace, MonotonicClock::now());
}

void QuotaDriver::scheduleTick()
{
    m_isTicking = true;
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        m_isTicking = false;
        if (ec || m_stopped)
            return;
        tick();
        if (m_hasLimits)
            scheduleTick();
    });
}

void QuotaDriver::tick()
{
    const auto now = MonotonicClock::now();
    if (m_view && now - m_ownersUpdatedAt >= ownersInterval) {
        m_owners.update(*m_view, wallNow());
        m_ownersUpdatedAt = now;
    }
    sendReports();
    answerDecided();
}

void QuotaDriver::scheduleReports()
{
    if (std::exchange(m_reportsScheduled, true))
        return;
    boost::asio::post(m_context.io, [this] {
        m_reportsScheduled = false;
        if (!m_stopped)
            sendReports();
    });
}

void QuotaDriver::sendReports()
{
    const auto now = MonotonicClock::now();
    ByOwner byOwner;
    for (auto& report : m_gate.takeReports(now)) {
        const auto owner = m_owners.ownerOf(report.workspace, now);
        if (!owner) {
            m_gate.onReportFailed(report, now);
            continue;
        }
        auto& [node, message] = byOwner[owner->name];
        node = *owner;
        message.node = m_context.settings.name;
        message.reports.push_back(std::move(report));
    }
    for (const auto& [name, sent] : byOwner)
        send(sent.first, sent.second);
}

void QuotaDriver::send(const quota::OwnerNode& owner, const quota::UsageMessage& message)
{
    if (owner.name == m_context.settings.name) {
        reportHere(message);
        return;
    }
    peer::Completion<quota::QuotaGrants> completion;
    completion.done = [this, message](const quota::QuotaGrants& grants) {
        if (!m_stopped)
            onGrants(message, grants);
    };
    completion.failed = [this, message, name = owner.name](peer::PeerError error) {
        if (m_stopped)
            return;
        if (error.fault == peer::PeerFault::ConnectFailed)
            m_owners.avoid(name, MonotonicClock::now());
        onReportFailed(message);
    };
    m_peers->reportUsage(owner.peer, message, completion);
}

void QuotaDriver::reportHere(const quota::UsageMessage& message)
{
    onGrants(message, grantsOf(message));
}

void QuotaDriver::onPeerUsage(const quota::UsageMessage& message, peer::UsageReply reply)
{
    const auto now = MonotonicClock::now();
    quota::UsageMessage here { message.node, {}, message.isRelayed };
    ByOwner relayed;
    for (const auto& report : message.reports) {
        const auto owner = message.isRelayed ? std::nullopt : m_owners.relayTarget(m_context.settings.name, report.workspace, now);
        if (!owner) {
            here.reports.push_back(report);
            continue;
        }
        auto& [node, sent] = relayed.try_emplace(owner->name, *owner, quota::UsageMessage { message.node, {}, true }).first->second;
        sent.reports.push_back(report);
    }
    const auto pending = std::make_shared<PendingReply>(PendingReply { std::move(reply), {}, relayed.size() + 1 });
    for (const auto& [name, sent] : relayed)
        relay(sent.first, sent.second, pending);
    finishRelay(*pending, grantsOf(here));
}

void QuotaDriver::relay(const quota::OwnerNode& owner, const quota::UsageMessage& message, const std::shared_ptr<PendingReply>& pending)
{
    peer::Completion<quota::QuotaGrants> completion;
    completion.done = [pending](const quota::QuotaGrants& grants) { finishRelay(*pending, grants); };
    completion.failed = [this, message, pending, name = owner.name](peer::PeerError error) {
        const bool isOwnerGone = !m_stopped && error.fault == peer::PeerFault::ConnectFailed;
        if (isOwnerGone)
            m_owners.avoid(name, MonotonicClock::now());
        finishRelay(*pending, isOwnerGone ? grantsOf(message) : quota::QuotaGrants {});
    };
    m_peers->reportUsage(owner.peer, message, completion);
}

void QuotaDriver::finishRelay(PendingReply& pending, const quota::QuotaGrants& grants)
{
    pending.grants.insert(pending.grants.end(), grants.begin(), grants.end());
    if (--pending.awaited == 0)
        pending.reply(std::move(pending.grants));
}

quota::QuotaGrants QuotaDriver::grantsOf(const quota::UsageMessage& message)
{
    const auto now = MonotonicClock::now();
    quota::QuotaGrants grants;
    for (const auto& report : message.reports) {
        if (m_owners.mayOwn(m_context.settings.name, report.workspace))
            grants.push_back(m_owner.onReport(message.node, report, now));
    }
    return grants;
}

void QuotaDriver::onGrants(const quota::UsageMessage& message, const quota::QuotaGrants& grants)
{
    const auto now = MonotonicClock::now();
    for (const auto& report : message.reports) {
        const auto grant = std::find_if(grants.begin(), grants.end(), [&report](const auto& it) { return it.workspace == report.workspace; });
        if (grant == grants.end())
            m_gate.onReportFailed(report, now);
        else
            m_gate.onGrant(*grant, now);
    }
    answerDecided();
}

void QuotaDriver::onReportFailed(const quota::UsageMessage& message)
{
    const auto now = MonotonicClock::now();
    for (const auto& report : message.reports)
        m_gate.onReportFailed(report, now);
}

void QuotaDriver::answerDecided()
{
    for (const auto& [ticket, verdict] : m_gate.takeDecided(MonotonicClock::now())) {
        const auto found = m_waiting.extract(ticket);
        if (found)
            answer(found.mapped().workspace, found.mapped().handler, verdict);
    }
}

std::string QuotaDriver::statusJson() const
{
    auto workspaces = nlohmann::json::array();
    for (const auto& it : m_owner.states(MonotonicClock::now())) {
        workspaces.push_back({
            { "workspace", it.workspace.value() },
            { "mode", quota::toString(it.mode) },
            { "limit", it.callsPerSecond },
            { "tokens", it.tokens },
            { "demand", it.demand },
        });
    }
    return nlohmann::json { { "node", m_context.settings.name.value() }, { "workspaces", std::move(workspaces) } }.dump();
}

}
