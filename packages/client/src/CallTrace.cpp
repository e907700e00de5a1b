#include "carobpath/client/CallTrace.h"

#include "carobpath/foundation/EventNames.h"
#include "internal/EventFields.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace carobpath::client {

namespace {

    using Detail::millisecondsIn;
    using Detail::numberIn;
    using Detail::textIn;
    using nlohmann::json;

    constexpr std::array callEvents { event::callEnded, event::attemptEnded, event::admissionRefused, event::backendEnded };

    struct BeliefKind {
        EventName event;
        /// What the event tells about; the newest on each subject is what a process believed.
        std::string_view subject;
    };

    constexpr std::array beliefKinds {
        BeliefKind { event::ready, "readiness" },
        BeliefKind { event::notReady, "readiness" },
        BeliefKind { event::draining, "draining" },
        BeliefKind { event::configurationInForce, "configuration" },
        BeliefKind { event::logAvailable, "log" },
        BeliefKind { event::logUnavailable, "log" },
        BeliefKind { event::upstreamAnnounced, "upstream" },
        BeliefKind { event::upstreamGone, "upstream" },
        BeliefKind { event::backendCrashed, "crashes" },
        BeliefKind { event::moveShareChanged, "moves" },
        BeliefKind { event::moveTakenBack, "moves" },
    };

    /// \returns what an event of the name tells about; empty where it is no belief.
    std::string_view subjectOf(std::string_view name)
    {
        const auto it = std::find_if(beliefKinds.begin(), beliefKinds.end(), [name](const BeliefKind& kind) { return kind.event.text == name; });
        return it == beliefKinds.end() ? std::string_view {} : it->subject;
    }

    bool isOfCalls(std::string_view name)
    {
        return std::any_of(callEvents.begin(), callEvents.end(), [name](EventName it) { return it.text == name; });
    }

    /// Lines about calls that one process left out between two lines of the same kind that it wrote.
    struct Gap {
        LeftOutLines lines;
        HybridTime from;
        HybridTime to;
    };

    /// Gathers the parts of a trace from one event after the other.
    class TraceBuilder {
    public:
        explicit TraceBuilder(const RequestId& request)
            : m_mark("\"" + request.value() + "\"")
        {
            m_trace.request = request;
        }

        void add(const TimelineEvent& event)
        {
            const auto name = nameOf(event);
            if (isOfCalls(name))
                addCallEvent(event, name);
            else if (!subjectOf(name).empty())
                m_beliefs.push_back(&event);
        }

        CallTrace take()
        {
            keepGaps();
            keepBeliefs();
            return std::move(m_trace);
        }

    private:
        /// The name as text within the line, so that the many lines of other calls need no parsing.
        static std::string_view nameOf(const TimelineEvent& event)
        {
            constexpr std::string_view key = "\"event\":\"";
            const std::string_view line = event.line;
            const auto at = line.find(key);
            if (at == std::string_view::npos)
                return {};
            const auto from = at + key.size();
            return line.substr(from, line.find('"', from) - from);
        }

        void addCallEvent(const TimelineEvent& event, std::string_view name)
        {
            if (event.line.find("\"leftOut\"") != std::string::npos)
                addGap(event, name);
            m_lastOfKind[{ event.process, std::string { name } }] = event.hybrid;
            if (event.line.find(m_mark) != std::string::npos)
                addLine(event);
        }

        void addGap(const TimelineEvent& event, std::string_view name)
        {
            const std::string kind { name };
            const auto count = numberIn(json::parse(event.line, nullptr, false), "leftOut");
            const auto before = m_lastOfKind.find({ event.process, kind });
            const auto from = before == m_lastOfKind.end() ? HybridTime {} : before->second;
            m_gaps.push_back({ { event.process, kind, count }, from, event.hybrid });
        }

        void addLine(const TimelineEvent& event)
        {
            const auto object = json::parse(event.line, nullptr, false);
            if (textIn(object, "request") != m_trace.request.value())
                return;
            m_trace.lines.push_back(event);
            m_processes.insert(event.process);
            const auto name = textIn(object, "event").value_or("");
            if (name == event::callEnded.text)
                addEnd(object, event);
            else if (name == event::attemptEnded.text)
                addAttempt(object, event);
            else if (name == event::backendEnded.text)
                addBackend(object, event);
        }

        void addEnd(const json& object, const TimelineEvent& event)
        {
            CallEnded it;
            it.status = static_cast<unsigned>(numberIn(object, "status"));
            it.outcome = textIn(object, "outcome").value_or("");
            it.reason = textIn(object, "reason").value_or("");
            it.attempts = numberIn(object, "attempts");
            it.took = millisecondsIn(object, "tookMs").value_or(it.took);
            it.objective = millisecondsIn(object, "objectiveMs");
            it.workspace = textIn(object, "workspace").value_or("");
            if (object.contains("configuration"))
                it.configuration = numberIn(object, "configuration");
            it.configurationAge = millisecondsIn(object, "configurationAgeMs");
            it.cut = textIn(object, "answer").value_or("");
            noteStart(event, it.took);
            m_trace.end = std::move(it);
        }

        void addAttempt(const json& object, const TimelineEvent& event)
        {
            AttemptEnded it;
            it.number = numberIn(object, "attempt");
            it.node = textIn(object, "node").value_or("");
            it.outcome = textIn(object, "outcome").value_or("");
            it.reason = textIn(object, "reason").value_or("");
            it.took = millisecondsIn(object, "tookMs").value_or(it.took);
            noteStart(event, it.took);
            m_processes.insert(processOf(it.node));
            m_trace.attempts.push_back(std::move(it));
        }

        void addBackend(const json& object, const TimelineEvent& event)
        {
            BackendEnded it;
            it.process = event.process;
            it.result = textIn(object, "result").value_or("");
            it.took = millisecondsIn(object, "tookMs").value_or(it.took);
            noteStart(event, it.took);
            m_trace.backends.push_back(std::move(it));
        }

        void noteStart(const TimelineEvent& event, std::chrono::duration<double, std::milli> took)
        {
            const auto start = event.hybrid.wall - std::chrono::ceil<std::chrono::milliseconds>(took);
            m_start = std::min(m_start, HybridTime { start, 0 });
        }

        HybridTime end() const { return m_trace.lines.back().hybrid; }

        /// A process may have left out a line of the call where its lines before and after enclose a part of the call.
        void keepGaps()
        {
            for (auto& it : m_gaps) {
                const bool overlaps = m_trace.lines.empty() || (it.to >= m_start && it.from <= end());
                const bool isOnPath = !m_trace.end || m_processes.contains(it.lines.process);
                if (overlaps && isOnPath)
                    m_trace.leftOut.push_back(std::move(it.lines));
            }
        }

        void keepBeliefs()
        {
            if (m_trace.lines.empty())
                return;
            std::map<std::pair<std::string_view, std::string_view>, const TimelineEvent*> newest;
            for (const auto* it : m_beliefs) {
                if (m_processes.contains(it->process) && it->hybrid <= end())
                    newest[{ it->process, subjectOf(nameOf(*it)) }] = it;
            }
            for (const auto& [place, it] : newest)
                m_trace.beliefs.push_back({ *it, end().wall - it->hybrid.wall });
        }

        std::string m_mark;
        CallTrace m_trace;
        std::set<std::string> m_processes;
        std::map<std::pair<std::string, std::string>, HybridTime> m_lastOfKind;
        std::vector<Gap> m_gaps;
        std::vector<const TimelineEvent*> m_beliefs;
        HybridTime m_start { WallTime::max(), 0 };
    };

}

std::string processOf(const std::string& node) { return "node/" + node; }

CallTrace traceOf(const RequestId& request, std::span<const TimelineEvent> events)
{
    TraceBuilder builder { request };
    for (const auto& it : events)
        builder.add(it);
    return builder.take();
}

}
