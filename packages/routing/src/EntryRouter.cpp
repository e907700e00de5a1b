#include "carobpath/routing/EntryRouter.h"

#include "EntryState.h"

namespace carobpath::routing {

EntryRouter::EntryRouter(std::mt19937_64 random)
    : m_state(std::make_shared<EntryState>(random))
{
}

EntryRouter::~EntryRouter() = default;

void EntryRouter::setLocalNode(NodeName node, FailureDomainName domain)
{
    m_state->picker.setLocalNode(std::move(node), std::move(domain));
}

void EntryRouter::setConfiguration(publication::ConfigurationPointer configuration)
{
    if (configuration) {
        const auto isGone = [&](const auto& it) { return !configuration->set.routes.contains(it.first); };
        std::erase_if(m_state->answerTimes, isGone);
        std::erase_if(m_state->callerTimeouts, isGone);
        std::erase_if(m_state->balances, [&](const auto& it) { return !configuration->set.services.contains(it.first); });
    }
    m_state->table = std::make_shared<RouteTable>(std::move(configuration));
}

void EntryRouter::setMembership(std::shared_ptr<const membership::MembershipView> view)
{
    m_state->picker.setView(std::move(view));
}

void EntryRouter::setTrafficSplitSource(TrafficSplitSource source) { m_state->trafficSplitSource = std::move(source); }
void EntryRouter::setQuarantineSource(QuarantineSource source) { m_state->quarantineSource = std::move(source); }
void EntryRouter::setInnerCalls(std::shared_ptr<capacity::InnerCalls> it) { m_state->innerCalls = std::move(it); }
void EntryRouter::setPolicy(const EntryPolicy& policy) { m_state->setPolicy(policy); }
void EntryRouter::setReady(bool ready) { m_state->ready = ready; }
void EntryRouter::setDrainDeadline(MonotonicTime time) { m_state->drainDeadline = time; }

std::vector<membership::AnswerTime> EntryRouter::localTimes(MonotonicTime now) const
{
    std::vector<membership::AnswerTime> times;
    for (const auto& [service, balance] : m_state->balances) {
        if (const auto mean = balance.localTime(now))
            times.push_back({ service, std::chrono::ceil<std::chrono::milliseconds>(*mean) });
    }
    return times;
}

void EntryRouter::onRemoteTimes(const std::vector<membership::AnswerTime>& times, MonotonicTime now)
{
    for (const auto& it : times) {
        const auto balance = m_state->balances.find(it.service);
        if (balance != m_state->balances.end())
            balance->second.onRemoteTime(it.mean, now);
    }
}

std::shared_ptr<CallDecision> EntryRouter::begin(const CallRequest& request, MonotonicTime arrivedAt)
{
    return std::make_shared<CallDecision>(m_state, request, arrivedAt);
}

bool EntryRouter::isRepeatable(std::string_view host, std::string_view method, std::string_view path) const
{
    if (!m_state->table->configuration())
        return true;
    const auto found = m_state->table->find(host, method, path);
    const auto* route = std::get_if<RouteTable::Match>(&found);
    return !route || (*route)->repeatability == publication::Repeatability::Repeatable;
}

bool EntryRouter::needsKeys() const { return m_state->table->keys().isInForce(); }

std::vector<NodeObservation> EntryRouter::takeObservations()
{
    std::vector<NodeObservation> taken(m_state->observations.begin(), m_state->observations.end());
    m_state->observations.clear();
    return taken;
}

}
