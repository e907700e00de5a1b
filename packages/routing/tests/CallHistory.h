#pragma once

#include "AdmissionFixture.h"
#include "CheckedHistory.h"
#include "EntryFixture.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::routing::tests {

/// Defects that can be injected into a history, to show that the checks find them.
struct InjectedDefects {
    /// A lost connection is treated as proof that the request did not run.
    bool treatLostAsNotRun = false;
    /// A request that arrives twice is not recognized.
    bool giveCopiesNewIds = false;
    /// A non-repeatable call is routed as a repeatable one.
    bool repeatBookings = false;
};

/// A run of three nodes, each an entry and an admitting node with a backend server, whose connections and servers fail.
class CallHistory {
public:
    enum Action : std::uint32_t {
        Start,
        Deliver,
        DeliverLatest,
        FailToConnect,
        Cut,
        Copy,
        RunRequest,
        Answer,
        RefuseRequest,
        Crash,
        TimeOut,
        Tick,
        KillNode,
        Drain,
        Actions,
    };

    explicit CallHistory(InjectedDefects defects = {})
        : m_defects(defects)
    {
        for (std::size_t i = 0; i < s_nodes; ++i)
            restart(i);
    }

    /// \returns whether no booking ran twice, and no call ran that was reported to its caller as not run.
    bool run(const Steps& steps)
    {
        for (const auto& it : steps) {
            apply(it.action, it.detail);
            if (!isSafe())
                return false;
        }
        return true;
    }

    std::size_t answeredCalls() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_calls.begin(), m_calls.end(), [](const Call& it) { return it.relayed; }));
    }
    std::size_t notRunCalls() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_calls.begin(), m_calls.end(), [](const Call& it) { return it.reportedNotRun; }));
    }

private:
    static constexpr std::size_t s_nodes = 3;
    static constexpr std::uint32_t s_faultPeriod = 5;

    static bool isFault(std::uint32_t action)
    {
        return action == FailToConnect || action == Cut || action == RefuseRequest || action == Crash
            || action == TimeOut || action == KillNode || action == Drain;
    }

    struct Call {
        std::shared_ptr<CallDecision> decision;
        RequestId id;
        bool booking = false;
        std::uint32_t attempt = 0;
        std::size_t node = 0;
        int runs = 0;
        bool reportedNotRun = false;
        bool relayed = false;
    };
    /// A request on its way to a node, or an answer on its way back.
    struct Message {
        std::size_t call = 0;
        std::uint32_t attempt = 0;
        std::size_t node = 0;
        AdmissionRequest request;
        std::optional<AttemptResult> answer;
    };
    /// A request at a backend server; a request that its node has abandoned may still run.
    struct Work {
        std::size_t call = 0;
        std::uint32_t attempt = 0;
        RequestId id;
        bool ran = false;
        bool abandoned = false;
    };
    /// A call and the number of its attempt.
    using Origin = std::pair<std::size_t, std::uint32_t>;

    struct Node {
        std::unique_ptr<EntryRouter> router;
        std::unique_ptr<AdmissionController> admission;
        std::deque<Work> works;
    };

    void apply(std::uint32_t action, std::uint32_t detail)
    {
        // Faults are rarer than steps that make calls progress.
        if (isFault(action) && detail / 7 % s_faultPeriod != 0) {
            if (!m_messages.empty())
                deliver(detail % m_messages.size());
            return;
        }
        auto& node = m_nodes[detail % s_nodes];
        const auto index = detail % s_nodes;
        switch (action) {
        case Start:
            start(index, detail % 2 == 0);
            break;
        case Deliver:
            if (!m_messages.empty())
                deliver(detail % m_messages.size());
            break;
        case DeliverLatest:
            if (!m_messages.empty())
                deliver(m_messages.size() - 1);
            break;
        case FailToConnect:
        case Cut:
            if (!m_messages.empty())
                lose(detail % m_messages.size(), action == Cut, detail % 7 < 3);
            break;
        case Copy:
            if (!m_messages.empty())
                copy(detail % m_messages.size());
            break;
        case RunRequest:
            for (auto& it : node.works)
                runOnce(it);
            break;
        case Answer:
            if (!node.works.empty() && node.works.front().ran)
                finish(index, 0, BackendResult::Answered);
            break;
        case RefuseRequest:
            if (!node.works.empty() && !node.works.back().ran)
                finish(index, node.works.size() - 1,
                    detail % 2 == 0 ? BackendResult::Refused : BackendResult::ConnectFailed);
            break;
        case Crash:
            while (!node.works.empty())
                finish(index, 0, BackendResult::ConnectionLost);
            break;
        case TimeOut:
            if (!node.works.empty())
                timeOut(index, detail % node.works.size());
            break;
        case Tick:
            tick(std::chrono::milliseconds { detail % 10 == 0 ? detail : detail / 50 });
            break;
        case KillNode:
            kill(index);
            break;
        default:
            take(index, node.admission->drain(m_now));
            break;
        }
    }

    void restart(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.router = std::make_unique<EntryRouter>(std::mt19937_64 { ++m_incarnations });
        node.router->setLocalNode(NodeName { "n" + std::to_string(index) }, FailureDomainName { "amman-a" });
        node.router->setConfiguration(m_defects.repeatBookings ? repeatableConfiguration() : makeConfiguration());
        node.router->setMembership(makeView({ makeNode("n0", "v1"), makeNode("n1", "v1"), makeNode("n2", "v1") }));
        node.router->setReady(true);
        node.admission = std::make_unique<AdmissionController>();
        // Two slots, so that calls wait.
        node.admission->setUpstream(makeUpstream(membership::UpstreamState::Ready, 2), m_now);
    }

    static publication::ConfigurationPointer repeatableConfiguration()
    {
        auto it = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
        it->set.routes[RouteName { "book" }].route.repeatability = publication::Repeatability::Repeatable;
        return it;
    }

    void start(std::size_t node, bool booking)
    {
        Call call;
        const auto request = booking ? makeCall("POST", "/bookings") : makeCall("GET", "/x");
        call.id = request.id;
        call.booking = booking;
        call.decision = m_nodes[node].router->begin(request, m_now);
        m_calls.push_back(call);
        perform(m_calls.size() - 1, call.decision->start(m_now));
    }

    void perform(std::size_t index, const CallCommand& command)
    {
        auto& call = m_calls[index];
        if (const auto* sent = std::get_if<SendAttempt>(&command)) {
            call.attempt = sent->number;
            call.node = static_cast<std::size_t>(sent->node.value().back() - '0');
            AdmissionRequest request;
            request.id = call.id;
            request.service = sent->service;
            request.version = sent->version;
            request.repeatability = sent->repeatability;
            request.deadline = sent->deadline;
            m_messages.push_back({ index, call.attempt, call.node, request, std::nullopt });
            return;
        }
        if (const auto* refusal = std::get_if<AnswerRefusal>(&command))
            call.reportedNotRun = refusal->refusal.outcome == Outcome::NotRun;
        else
            call.relayed = true;
    }

    void deliver(std::size_t index)
    {
        const auto message = m_messages[index];
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        if (message.answer) {
            report(message.call, message.attempt, *message.answer);
            return;
        }
        m_arriving = { message.call, message.attempt };
        m_origins[{ message.node, message.request.id }] = m_arriving;
        take(message.node, m_nodes[message.node].admission->onArrival(message.request, m_now), message.request.id);
    }

    /// \param sent whether a byte was written before the connection was lost.
    /// \param arrives whether the message still reaches its destination.
    void lose(std::size_t index, bool sent, bool arrives)
    {
        const auto message = m_messages[index];
        if (!message.answer && !sent && message.attempt != m_calls[message.call].attempt)
            return;
        if (!arrives || !sent || message.answer)
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        const bool unsent = !sent && !message.answer && !wasCopied(message);
        report(message.call, message.attempt,
            unsent ? ended(Outcome::NotRun, RefusalReason::UpstreamUnreachable)
                   : ended(Outcome::Unknown, RefusalReason::UpstreamConnectionLost));
    }

    bool wasCopied(const Message& message) const
    {
        // A message that was copied had been written once.
        return std::find(m_copied.begin(), m_copied.end(), Origin { message.call, message.attempt }) != m_copied.end();
    }

    void copy(std::size_t index)
    {
        auto message = m_messages[index];
        m_copied.emplace_back(message.call, message.attempt);
        if (m_defects.giveCopiesNewIds && !message.answer)
            message.request.id = RequestId { message.request.id.value() + "-copy" + std::to_string(m_copied.size()) };
        m_messages.push_back(message);
    }

    void report(std::size_t index, std::uint32_t attempt, AttemptResult result)
    {
        auto& call = m_calls[index];
        if (call.decision->ended() || call.attempt != attempt)
            return;
        if (m_defects.treatLostAsNotRun && result.outcome == Outcome::Unknown) {
            result.outcome = Outcome::NotRun;
            result.reason = RefusalReason::UpstreamUnreachable;
        }
        perform(index, call.decision->onAttemptFinished(result, m_now));
    }

    void take(std::size_t index, const AdmissionCommands& commands, const RequestId& arriving = {})
    {
        for (const auto& command : commands) {
            if (const auto* dispatch = std::get_if<Dispatch>(&command))
                dispatchTo(index, dispatch->id, arriving);
            else
                answerRefusal(index, std::get<Reject>(command), arriving);
        }
    }

    /// \returns the call and attempt that a request belongs to.
    Origin originOf(std::size_t node, const RequestId& id, const RequestId& arriving)
    {
        if (id == arriving)
            return m_arriving;
        return m_origins.at({ node, id });
    }

    void dispatchTo(std::size_t index, const RequestId& id, const RequestId& arriving)
    {
        const auto [call, attempt] = originOf(index, id, arriving);
        m_nodes[index].works.push_back({ call, attempt, id, false, false });
    }

    void answerRefusal(std::size_t index, const Reject& it, const RequestId& arriving)
    {
        const auto [call, attempt] = originOf(index, it.id, arriving);
        m_messages.push_back(
            { call, attempt, index, {}, ended(it.refusal.outcome, it.refusal.reason, httpStatus(it.refusal.reason)) });
    }

    void runOnce(Work& it)
    {
        if (it.ran)
            return;
        it.ran = true;
        ++m_calls[it.call].runs;
    }

    void finish(std::size_t index, std::size_t position, BackendResult result)
    {
        auto& node = m_nodes[index];
        const auto work = node.works[position];
        node.works.erase(node.works.begin() + static_cast<std::ptrdiff_t>(position));
        if (work.abandoned)
            return;
        const bool notRun = result == BackendResult::Refused || result == BackendResult::ConnectFailed;
        const auto answer = result == BackendResult::Answered ? answered(200)
            : notRun                                          ? ended(Outcome::NotRun, RefusalReason::UpstreamRefused, 503)
                                                              : ended(Outcome::Unknown, RefusalReason::UpstreamConnectionLost, 502);
        m_messages.push_back({ work.call, work.attempt, index, {}, answer });
        take(index, node.admission->onFinished({ work.id, result, 5ms }, m_now));
    }

    /// The node abandons a request that its backend server may still run.
    void timeOut(std::size_t index, std::size_t position)
    {
        auto& work = m_nodes[index].works[position];
        if (work.abandoned)
            return;
        work.abandoned = true;
        const auto id = work.id;
        m_messages.push_back(
            { work.call, work.attempt, index, {}, ended(Outcome::Unknown, RefusalReason::UpstreamTimeout, 504) });
        take(index, m_nodes[index].admission->onFinished({ id, BackendResult::TimedOut, 1s }, m_now));
    }

    void tick(std::chrono::milliseconds time)
    {
        m_now += time;
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            if (const auto command = m_calls[i].decision->onDeadline(m_now))
                perform(i, *command);
        }
        for (std::size_t i = 0; i < s_nodes; ++i)
            take(i, m_nodes[i].admission->onTick(m_now));
    }

    /// The node loses its memory and connections; its backend server continues to process its requests.
    void kill(std::size_t index)
    {
        std::erase_if(m_messages, [&](const Message& it) { return it.node == index; });
        for (auto& it : m_nodes[index].works)
            it.abandoned = true;
        restart(index);
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            if (m_calls[i].node == index)
                report(i, m_calls[i].attempt, ended(Outcome::Unknown, RefusalReason::UpstreamConnectionLost));
        }
    }

    bool isSafe() const
    {
        return std::all_of(m_calls.begin(), m_calls.end(), [](const Call& it) {
            return !(it.booking && it.runs > 1) && !(it.reportedNotRun && it.runs > 0);
        });
    }

    InjectedDefects m_defects;
    MonotonicTime m_now = startTime;
    std::uint64_t m_incarnations = 0;
    std::array<Node, s_nodes> m_nodes;
    std::vector<Call> m_calls;
    std::vector<Message> m_messages;
    std::vector<Origin> m_copied;
    std::map<std::pair<std::size_t, RequestId>, Origin> m_origins;
    Origin m_arriving;
};

}
