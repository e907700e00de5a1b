#include "carobpath/publication/Codec.h"
#include "internal/AdminClient.h"
#include "internal/Commands.h"

namespace carobpath::client::Detail {

namespace {

    using nlohmann::json;

    constexpr unsigned statusOk = 200;

    std::chrono::milliseconds nodeTimeout(const Context& context)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(context.settings->timeouts.node);
    }

    ExitCode failWithoutNodes(const Context& context)
    {
        if (context.settings->nodes.empty())
            return context.fail(ExitCode::WrongInput, "no-nodes", "the settings name no nodes");
        return context.fail(ExitCode::Unavailable, "unavailable", "no node answers");
    }

    std::string statusLine(const Endpoint& node, const json& status)
    {
        const auto offset = configurationOffset(status);
        std::string line = toString(node) + "  " + status.value("node", "?") + "  " + status.value("failureDomain", "?");
        line += status.value("ready", false) ? "  ready" : "  not ready";
        if (status.value("draining", false))
            line += "  draining";
        line += offset ? "  configuration " + std::to_string(*offset) : "  no configuration";
        return line;
    }

    ExitCode status(const Context& context)
    {
        json nodes = json::array();
        bool hasAnswer = false;
        for (const auto& node : context.settings->nodes) {
            const auto result = adminGet(node, "/v1/status", nodeTimeout(context));
            const auto* answer = std::get_if<AdminAnswer>(&result);
            const bool isGood = answer && answer->status == statusOk && answer->body.is_object();
            hasAnswer = hasAnswer || isGood;
            const std::string error { answer ? "refused" : toString(std::get<AdminFailure>(result)) };
            nodes.push_back(isGood ? json { { "admin", toString(node) }, { "status", answer->body } } : json { { "admin", toString(node) }, { "error", error } });
            context.printText(isGood ? statusLine(node, answer->body) : toString(node) + "  " + error);
        }
        if (!hasAnswer && !context.isJson)
            return failWithoutNodes(context);
        context.printJson({ { "result", hasAnswer ? "ok" : "unavailable" }, { "nodes", std::move(nodes) } });
        return hasAnswer ? ExitCode::Ok : ExitCode::Unavailable;
    }

    void printObjects(const Context& context, const publication::ConfigurationSet& set)
    {
        for (const auto& [name, it] : set.services)
            context.printText("service/" + name.value() + "  " + it.service.member.value() + "  current " + it.currentVersion.value());
        for (const auto& [name, it] : set.versions)
            context.printText("version/" + name.value() + "  " + it.version.member.value() + "  of " + it.version.service.value());
        for (const auto& [name, it] : set.routes)
            context.printText("route/" + name.value() + "  " + it.route.member.value() + "  " + it.route.pathPrefix + " -> " + it.route.service.value());
        for (const auto& [name, it] : set.moves)
            context.printText("move/" + name.value() + "  " + it.move.member.value() + "  " + it.move.service.value() + ": " + it.from.value() + " -> " + it.move.to.value());
    }

    ExitCode objects(const Context& context)
    {
        const auto answer = firstAnswer(context.settings->nodes, "/v1/objects", nodeTimeout(context));
        if (!answer || answer->status != statusOk)
            return failWithoutNodes(context);
        if (context.isJson) {
            context.printJson(answer->body);
            return ExitCode::Ok;
        }
        const auto set = publication::decode<publication::ConfigurationSet>(answer->body.dump());
        if (!set)
            return context.fail(ExitCode::Unavailable, "malformed", "the node's answer is no set of objects");
        printObjects(context, set.value());
        return ExitCode::Ok;
    }

}

Command statusCommand()
{
    return { "status", "", "Show the nodes and the configuration that each has in force", 0, 0, true, {}, status };
}

Command objectsCommand()
{
    return { "objects", "", "Show the objects in force at the first node that answers", 0, 0, true, {}, objects };
}

}
