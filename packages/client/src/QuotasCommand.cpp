#include "internal/AdminClient.h"
#include "internal/Commands.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace carobpath::client::Detail {

namespace {

    using nlohmann::json;

    constexpr unsigned statusOk = 200;

    /// What the nodes say of the quotas that they keep.
    struct FleetQuotas {
        json workspaces = json::array();
        json unanswered = json::array();
        bool hasAnswer = false;
    };

    std::string oneDecimal(double number)
    {
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "%.1f", number);
        return buf.data();
    }

    bool isQuotas(const AdminAnswer& answer)
    {
        return answer.status == statusOk && answer.body.is_object() && answer.body.contains("workspaces") && answer.body["workspaces"].is_array();
    }

    void addQuotas(FleetQuotas& to, const Endpoint& node, const AdminAnswer& answer)
    {
        to.hasAnswer = true;
        for (auto it : answer.body["workspaces"]) {
            it["node"] = answer.body.value("node", "?");
            it["admin"] = toString(node);
            to.workspaces.push_back(std::move(it));
        }
    }

    FleetQuotas askNodes(const Context& context)
    {
        FleetQuotas quotas;
        const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(context.settings->timeouts.node);
        for (const auto& node : context.settings->nodes) {
            const auto result = adminGet(node, "/v1/quotas", timeout);
            const auto* answer = std::get_if<AdminAnswer>(&result);
            if (answer && isQuotas(*answer))
                addQuotas(quotas, node, *answer);
            else
                quotas.unanswered.push_back({ { "admin", toString(node) }, { "error", answer ? "refused" : std::string { toString(std::get<AdminFailure>(result)) } } });
        }
        std::sort(quotas.workspaces.begin(), quotas.workspaces.end(), [](const json& a, const json& b) { return a.value("workspace", "") < b.value("workspace", ""); });
        return quotas;
    }

    std::string lineOf(const json& it)
    {
        return it.value("workspace", "?") + "  limit " + oneDecimal(it.value("limit", 0.0)) + "/s  demand " + oneDecimal(it.value("demand", 0.0)) + "/s  tokens "
            + oneDecimal(it.value("tokens", 0.0)) + "  " + it.value("mode", "?") + "  kept by " + it.value("node", "?") + " (" + it.value("admin", "?") + ")";
    }

    ExitCode quotas(const Context& context)
    {
        auto found = askNodes(context);
        if (!found.hasAnswer)
            return context.fail(ExitCode::Unavailable, "unavailable", "no node answers");
        for (const auto& it : found.workspaces)
            context.printText(lineOf(it));
        if (found.workspaces.empty())
            context.printText("no workspace with a limit was called of late");
        for (const auto& it : found.unanswered)
            context.printText(it.value("admin", "?") + "  " + it.value("error", "?"));
        context.printJson({ { "result", "ok" }, { "workspaces", std::move(found.workspaces) }, { "unanswered", std::move(found.unanswered) } });
        return ExitCode::Ok;
    }

}

Command quotasCommand()
{
    return { "quotas", "", "Show the use of each workspace's rate limit and the node that keeps it", 0, 0, true, {}, quotas };
}

}
