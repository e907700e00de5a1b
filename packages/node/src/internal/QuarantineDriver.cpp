#include "internal/QuarantineDriver.h"

#include "carobpath/foundation/EventNames.h"
#include "internal/Countdown.h"

#include <algorithm>

namespace carobpath::node::Detail {

namespace {

    bool isAnswer(routing::BackendResult result)
    {
        return result == routing::BackendResult::Answered || result == routing::BackendResult::ServerError;
    }

}

QuarantineDriver::QuarantineDriver(NodeContext& context)
    : m_context(context)
    , m_quarantine(context.settings.name, context.incarnation)
    , m_random(context.random())
    , m_snapshotAt(MonotonicClock::now())
{
}

routing::FingerprintChecks QuarantineDriver::checks()
{
    routing::FingerprintChecks checks;
    checks.refusedFor = [this](routing::Fingerprint it, MonotonicTime now) { return m_quarantine.refusedFor(it, now); };
    checks.isSuspect = [this](routing::Fingerprint it) { return m_quarantine.isSuspect(it); };
    return checks;
}

void QuarantineDriver::onBackend(const gateway::BackendObservation& observation)
{
    if (isAnswer(observation.result))
        m_quarantine.onAnswered(observation.fingerprint, NodeContext::now());
}

void QuarantineDriver::onPeerUpdate(const routing::CrashUpdate& update)
{
    m_quarantine.merge(update, NodeContext::now());
    spreadNews([] {});
}

void QuarantineDriver::takeCrashes(routing::AdmissionController& controller, std::function<void()> told)
{
    while (auto suspects = controller.takeCrash()) {
        m_context.events.record(Event(event::backendCrashed).with("suspects", suspects->size()));
        m_quarantine.onCrash(std::move(*suspects), NodeContext::now());
    }
    spreadNews(std::move(told));
}

void QuarantineDriver::spreadNews(std::function<void()> told)
{
    const auto news = m_quarantine.takeUpdate();
    if (news.empty())
        told();
    else
        sendToRandomNodes(news, s_fanOut, std::move(told));
}

void QuarantineDriver::onTick(routing::AdmissionController& controller)
{
    const auto now = NodeContext::now();
    m_quarantine.onTick(now);
    takeCrashes(controller, [] {});
    if (now.monotonic - m_snapshotAt < s_snapshotInterval)
        return;
    m_snapshotAt = now.monotonic;
    const auto all = m_quarantine.snapshot();
    if (!all.empty())
        sendToRandomNodes(all, 1, [] {});
}

void QuarantineDriver::sendToRandomNodes(const routing::CrashUpdate& update, std::size_t count, std::function<void()> told)
{
    std::vector<Endpoint> chosen;
    const auto others = otherNodes();
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), count, m_random);
    const auto countdown = Countdown::start(m_context.io, chosen.size(), s_longestTelling, std::move(told));
    for (const auto& it : chosen) {
        // A peer that cannot be reached hears the news from another one.
        const auto ended = [countdown](const auto&) { countdown->step(); };
        m_peers->reportCrashes(it, update, { ended, ended });
    }
}

std::vector<Endpoint> QuarantineDriver::otherNodes() const
{
    std::vector<Endpoint> endpoints;
    if (!m_view)
        return endpoints;
    for (const auto& node : m_view->nodes) {
        if (node.liveness != membership::Liveness::Dead && node.entry.name != m_context.settings.name)
            endpoints.push_back(node.entry.addresses.peer);
    }
    return endpoints;
}

}
