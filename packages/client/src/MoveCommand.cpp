#include "carobpath/publication/ObjectRef.h"
#include "internal/AdminClient.h"
#include "internal/Commands.h"

#include <cmath>
#include <thread>

namespace carobpath::client::Detail {

namespace {

    using nlohmann::json;

    constexpr unsigned statusNotFound = 404;
    constexpr std::chrono::milliseconds pollInterval { 200 };
    constexpr std::chrono::milliseconds defaultWait { std::chrono::minutes { 60 } };

    struct Look {
        std::optional<AdminAnswer> answer;

        bool isKnown() const { return answer && answer->status != statusNotFound && answer->body.is_object(); }
        std::string state() const { return isKnown() ? answer->body.value("state", "") : ""; }
        /// Whether the log holds the end of the move; only then no other end can come before it.
        bool isFinal() const { return isKnown() && state() != "in-progress" && answer->body.value("recorded", false); }
    };

    ExitCode codeOf(const std::string& state)
    {
        if (state == "done")
            return ExitCode::Ok;
        if (state == "taken-back")
            return ExitCode::TakenBack;
        if (state == "withdrawn")
            return ExitCode::Withdrawn;
        return ExitCode::InProgress;
    }

    std::string textIn(const json& object, const char* key)
    {
        const auto it = object.find(key);
        return it != object.end() && it->is_string() ? it->get<std::string>() : "";
    }

    std::string percent(const json& report)
    {
        const auto it = report.find("share");
        const double share = it != report.end() && it->is_number() ? it->get<double>() : 0;
        return std::to_string(std::lround(share * 100)) + "%";
    }

    std::string describe(const json& report)
    {
        const auto state = textIn(report, "state");
        std::string text = textIn(report, "move") + ": " + state + ", " + textIn(report, "service") + " " + textIn(report, "from") + " -> " + textIn(report, "to");
        if (state == "in-progress") {
            text += ", share " + percent(report) + ", deadline " + textIn(report, "deadline");
            const auto wait = textIn(report, "wait");
            if (!wait.empty() && wait != "none")
                text += ", waits: " + wait + (textIn(report, "waitRoute").empty() ? "" : " on route " + textIn(report, "waitRoute"));
            return text;
        }
        const auto verdict = report.value("verdict", json {});
        if (verdict.is_object()) {
            text += ", reason " + textIn(verdict, "reason");
            if (!textIn(verdict, "route").empty())
                text += " on route " + textIn(verdict, "route");
            if (!textIn(verdict, "evidence").empty())
                text += ": " + textIn(verdict, "evidence");
        }
        if (!report.value("recorded", true))
            text += " (not yet in the log)";
        return text;
    }

    Look look(const Context& context)
    {
        const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(context.settings->timeouts.node);
        return { firstAnswer(context.settings->nodes, "/v1/moves/" + context.operands.front(), timeout) };
    }

    ExitCode report(const Context& context, const Look& look, ExitCode code)
    {
        context.printJson(look.answer->body);
        context.printText(describe(look.answer->body));
        return code;
    }

    ExitCode reportUnknown(const Context& context, const Look& look)
    {
        if (context.settings->nodes.empty())
            return context.fail(ExitCode::WrongInput, "no-nodes", "the settings name no nodes");
        if (!look.answer)
            return context.fail(ExitCode::Unavailable, "unavailable", "no node answers");
        return context.fail(ExitCode::WrongInput, "unknown-move", "no such move: " + context.operands.front());
    }

    ExitCode wait(const Context& context)
    {
        const auto end = std::chrono::steady_clock::now() + context.duration("timeout").value_or(defaultWait);
        std::string shown;
        while (true) {
            const auto now = look(context);
            if (now.isFinal())
                return report(context, now, codeOf(now.state()));
            if (now.isKnown() && !context.isJson && describe(now.answer->body) != shown) {
                shown = describe(now.answer->body);
                context.err << shown << '\n';
            }
            if (std::chrono::steady_clock::now() >= end)
                return now.isKnown() ? report(context, now, now.state() == "taken-back" ? ExitCode::TakenBack : ExitCode::Timeout) : reportUnknown(context, now);
            std::this_thread::sleep_for(pollInterval);
        }
    }

    ExitCode moveStatus(const Context& context)
    {
        if (!publication::isValidName(context.operands.front()))
            return context.fail(ExitCode::WrongInput, "bad-name", "not a name: " + context.operands.front());
        if (context.options.count("wait") > 0)
            return wait(context);
        const auto now = look(context);
        return now.isKnown() ? report(context, now, codeOf(now.state())) : reportUnknown(context, now);
    }

}

Command moveStatusCommand()
{
    const auto declare = [](cxxopts::Options& options) {
        options.add_options()("wait", "Wait until the log holds the end of the move");
        options.add_options()("timeout", "Longest wait, such as 90s", cxxopts::value<std::string>(), "DURATION");
    };
    return { "move status", "NAME", "Show whether a move is done, taken back, withdrawn or in progress", 1, 1, true, declare, moveStatus };
}

}
