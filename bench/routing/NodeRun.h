#pragma once

#include "OverloadRun.h"

#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/EntryRouter.h"

#include <deque>
#include <map>

namespace carobpath::bench {

using namespace routing;

inline publication::ConfigurationPointer makeConfiguration(const OverloadCase& overload)
{
    auto it = std::make_shared<publication::ConfigurationVersion>();
    publication::ServiceEntry service;
    service.service.name = ServiceName { "catalog" };
    service.service.hosts = { "catalog" };
    service.currentVersion = VersionName { "v1" };
    it->set.services[service.service.name] = service;
    it->set.versions[VersionName { "v1" }].version.name = VersionName { "v1" };
    publication::Route route;
    route.name = RouteName { "browse" };
    route.service = service.service.name;
    route.pathPrefix = "/";
    route.repeatability = publication::Repeatability::Repeatable;
    route.timeout = overload.timeout;
    route.objective = overload.objective;
    it->set.routes[route.name].route = route;
    return it;
}

inline EntryPolicy makeEntryPolicy(const OverloadCase& it)
{
    EntryPolicy policy;
    policy.localDomainFirst = it.inFleet;
    policy.maxCandidates = it.inFleet ? 6 : policy.maxCandidates;
    policy.picks = it.learnsSpeed ? PickPolicy::byLearnedSpeed() : PickPolicy {};
    return policy;
}

inline AdmissionPolicy makeAdmissionPolicy(const OverloadCase& it)
{
    AdmissionPolicy policy;
    policy.order.byObjective = it.inFleet;
    policy.speedMemory = std::chrono::seconds { it.learnsSpeed ? 10 : 0 };
    return policy;
}

/// A node beside each upstream; callers spread over the nodes.
class NodeRun : public OverloadRun {
public:
    NodeRun(const OverloadCase& it, std::uint64_t seed)
        : OverloadRun(it, seed)
    {
        auto view = std::make_shared<membership::MembershipView>();
        for (std::size_t i = 0; i < it.upstreams; ++i)
            view->nodes.push_back({ makeEntry(i), membership::Liveness::Alive });
        for (std::size_t i = 0; i < std::max(it.entries, it.upstreams); ++i) {
            auto& router = m_routers.emplace_back(std::make_unique<EntryRouter>(std::mt19937_64 { seed * 1000 + i }));
            router->setLocalNode(nodeName(i), domainOf(i));
            router->setConfiguration(makeConfiguration(it));
            router->setMembership(view);
            router->setReady(true);
            router->setPolicy(makeEntryPolicy(it));
        }
        for (const auto& node : view->nodes)
            m_admissions.emplace_back(makeAdmissionPolicy(it)).setUpstream(node.entry.upstream, queue().now());
        if (it.inFleet)
            exchangeTimes();
    }

private:
    struct Call {
        std::shared_ptr<CallDecision> decision;
        RequestId id;
        std::size_t upstream = 0;
        std::uint64_t attempt = 0;
        MonotonicTime sentAt;
        MonotonicTime since;
        std::size_t entry = 0;
        bool open = true;
    };
    using CallPointer = std::shared_ptr<Call>;

    /// Each node tells one of another failure domain how long its calls take.
    void exchangeTimes()
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            const auto other = random()() % m_routers.size();
            if (domainIndex(other) != domainIndex(i))
                m_routers[other]->onRemoteTimes(m_routers[i]->localTimes(queue().now()), queue().now());
        }
        queue().after(s_exchangeInterval, [this] { exchangeTimes(); });
    }

    static constexpr std::chrono::milliseconds s_exchangeInterval { 1'000 };

    static NodeName nodeName(std::size_t index) { return NodeName { "n" + std::to_string(index) }; }
    std::size_t domainIndex(std::size_t node) const { return node % overloadCase().domains; }
    FailureDomainName domainOf(std::size_t node) const { return FailureDomainName { "domain-" + std::to_string(domainIndex(node)) }; }

    std::size_t drawEntry()
    {
        const auto& loads = overloadCase().domainLoads;
        if (loads.empty())
            return random()() % m_routers.size();
        const std::size_t domain = std::discrete_distribution<std::size_t>(loads.begin(), loads.end())(random());
        const auto nodes = (m_routers.size() - domain + loads.size() - 1) / loads.size();
        return domain + loads.size() * (random()() % nodes);
    }

    membership::NodeEntry makeEntry(std::size_t index) const
    {
        membership::NodeEntry entry;
        entry.name = nodeName(index);
        entry.domain = domainOf(index);
        entry.addresses.calls = Endpoint { "10.0.0.1", static_cast<std::uint16_t>(index) };
        membership::Upstream upstream;
        upstream.service = ServiceName { "catalog" };
        upstream.version = VersionName { "v1" };
        upstream.slots = static_cast<std::uint32_t>(overloadCase().backend.slots);
        upstream.connections = static_cast<std::uint32_t>(overloadCase().backend.connections);
        upstream.state = membership::UpstreamState::Ready;
        entry.upstream = upstream;
        return entry;
    }

    void startCall() override
    {
        auto call = std::make_shared<Call>();
        CallRequest request;
        request.id = RequestId { std::to_string(++m_calls) };
        request.host = "catalog";
        request.method = "GET";
        request.path = "/";
        call->since = queue().now();
        call->entry = drawEntry();
        onCallOf(domainIndex(call->entry));
        call->decision = m_routers[call->entry]->begin(request, queue().now());
        perform(call, call->decision->start(queue().now()));
        queue().at(call->decision->deadline(), [this, call] { onDeadline(call); });
    }

    void perform(const CallPointer& call, const CallCommand& command)
    {
        if (const auto* send = std::get_if<SendAttempt>(&command)) {
            sendAttempt(call, *send);
            return;
        }
        call->open = false;
        if (std::holds_alternative<RelayAnswer>(command)) {
            onAnswered(call->since);
            onAnswerFor(domainIndex(call->entry), call->since);
        } else if (queue().now() >= call->decision->deadline())
            onLate();
        else
            onRefused(call->since);
    }

    void sendAttempt(const CallPointer& call, const SendAttempt& send)
    {
        onAttempt();
        call->attempt = ++m_attempts;
        call->id = RequestId { std::to_string(call->attempt) };
        call->upstream = send.calls.port;
        call->sentAt = queue().now();
        if (domainIndex(call->upstream) != domainIndex(call->entry))
            onRemoteAttempt();
        AdmissionRequest request;
        request.id = call->id;
        request.service = send.service;
        request.version = send.version;
        request.repeatability = send.repeatability;
        request.deadline = send.deadline;
        request.objective = send.objective;
        request.mayBeLate = send.mayBeLate;
        const auto attempt = call->attempt;
        queue().after(overloadCase().hop, [this, call, request] {
            m_waiting[request.id] = call;
            take(call->upstream, m_admissions[call->upstream].onArrival(request, queue().now()));
        });
        queue().at(send.deadline, [this, call, attempt] { onAttemptDeadline(call, attempt); });
    }

    void take(std::size_t upstream, const AdmissionCommands& commands)
    {
        for (const auto& it : commands) {
            if (const auto* dispatch = std::get_if<Dispatch>(&it))
                dispatchTo(upstream, dispatch->id);
            else
                reject(std::get<Reject>(it));
        }
    }

    void dispatchTo(std::size_t upstream, const RequestId& id)
    {
        const auto since = queue().now();
        const auto finish = [this, upstream, id, since](BackendResult result) {
            take(upstream, m_admissions[upstream].onFinished({ id, result, queue().now() - since }, queue().now()));
        };
        const bool taken = backend(upstream).offer(std::stoull(id.value()), [this, id, finish] {
            AttemptResult result;
            result.outcome = Outcome::Ran;
            result.status = 200;
            answer(id, result);
            finish(BackendResult::Answered);
        });
        if (!taken)
            finish(BackendResult::Refused);
    }

    void reject(const Reject& it)
    {
        AttemptResult result;
        result.outcome = it.refusal.outcome;
        result.reason = it.refusal.reason;
        result.retryAfter = it.refusal.retryAfter;
        result.status = httpStatus(it.refusal.reason);
        answer(it.id, result);
    }

    void answer(const RequestId& id, AttemptResult result)
    {
        const auto it = m_waiting.find(id);
        if (it == m_waiting.end())
            return;
        const auto call = it->second;
        m_waiting.erase(it);
        if (overloadCase().inFleet)
            result.load = m_admissions[call->upstream].load(queue().now());
        const auto attempt = call->attempt;
        queue().after(overloadCase().hop, [this, call, attempt, result]() mutable {
            if (!call->open || call->attempt != attempt)
                return;
            result.latency = queue().now() - call->sentAt;
            perform(call, call->decision->onAttemptFinished(result, queue().now()));
        });
    }

    void onAttemptDeadline(const CallPointer& call, std::uint64_t attempt)
    {
        if (!call->open || call->attempt != attempt || queue().now() >= call->decision->deadline())
            return;
        cancel(call);
        AttemptResult result;
        result.outcome = Outcome::Unknown;
        result.reason = RefusalReason::UpstreamTimeout;
        perform(call, call->decision->onAttemptFinished(result, queue().now()));
    }

    void onDeadline(const CallPointer& call)
    {
        const auto command = call->decision->onDeadline(queue().now());
        if (!command)
            return;
        cancel(call);
        perform(call, *command);
    }

    void cancel(const CallPointer& call)
    {
        if (m_waiting.erase(call->id) == 0)
            return;
        auto& admission = m_admissions[call->upstream];
        backend(call->upstream).cancel(call->attempt);
        take(call->upstream, admission.onCancelled(call->id, queue().now()));
        const AdmissionResult result { call->id, BackendResult::Cancelled, {} };
        take(call->upstream, admission.onFinished(result, queue().now()));
    }

    std::vector<std::unique_ptr<EntryRouter>> m_routers;
    std::deque<AdmissionController> m_admissions;
    std::map<RequestId, CallPointer> m_waiting;
    std::uint64_t m_calls = 0;
    std::uint64_t m_attempts = 0;
};

}
