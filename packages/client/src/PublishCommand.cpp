#include "carobpath/foundation/EventLog.h"
#include "internal/AdminClient.h"
#include "internal/Commands.h"
#include "internal/FaultJson.h"
#include "internal/PublishRun.h"

#include <thread>

namespace carobpath::client::Detail {

namespace {

    using namespace publication;
    using nlohmann::json;

    constexpr std::size_t maximumFiles = 1000;
    constexpr std::chrono::milliseconds pollInterval { 100 };

    /// What the command line and the files ask for.
    struct Plan {
        PublishRequest request;
        std::vector<LocatedObject> objects;
        ReportedFaults faults;
    };

    RecordId newId(const ClientSettings& settings)
    {
        const auto now = std::chrono::time_point_cast<std::chrono::microseconds>(WallClock::now());
        return { settings.member.name.value(), { static_cast<std::uint64_t>(now.time_since_epoch().count()) }, std::random_device {}() };
    }

    ReportedFault usageFault(const std::string& kind, const std::string& text)
    {
        return { { { "kind", kind }, { "detail", text } }, text };
    }

    void readDeletions(const Context& context, Plan& plan)
    {
        if (context.options.count("delete") == 0)
            return;
        for (const auto& text : context.options["delete"].as<std::vector<std::string>>()) {
            if (const auto object = objectRefFromString(text))
                plan.request.changes.emplace_back(DeleteObject { *object });
            else
                plan.faults.push_back(usageFault("bad-object", "--delete " + text + ": is no kind/name such as route/booking-create"));
        }
    }

    void readId(const Context& context, Plan& plan)
    {
        plan.request.id = newId(*context.settings);
        if (context.options.count("id") == 0)
            return;
        const auto text = context.options["id"].as<std::string>();
        if (const auto id = recordIdFromString(text))
            plan.request.id = *id;
        else
            plan.faults.push_back(usageFault("bad-id", "--id " + text + ": is no id that an earlier run printed"));
    }

    Plan planOf(const Context& context)
    {
        Plan plan;
        plan.request.member = context.settings->member.name;
        const ObjectFileOptions options { plan.request.member, wallNow() };
        for (const auto& path : context.operands) {
            auto file = readObjectFile(path, options);
            for (const auto& it : file.faults)
                plan.faults.push_back(reported(it));
            std::move(file.objects.begin(), file.objects.end(), std::back_inserter(plan.objects));
        }
        for (const auto& it : plan.objects)
            plan.request.changes.push_back(it.change);
        readDeletions(context, plan);
        readId(context, plan);
        return plan;
    }

    /// Waits until every node of the settings has a configuration at least as new.
    ExitCode waitUntilInForce(const Context& context, Offset offset, std::chrono::steady_clock::time_point end, json result)
    {
        auto missing = context.settings->nodes;
        const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(context.settings->timeouts.node);
        while (true) {
            std::erase_if(missing, [&](const Endpoint& node) {
                const auto answer = adminGet(node, "/v1/status", timeout);
                const auto* status = std::get_if<AdminAnswer>(&answer);
                return status && configurationOffset(status->body).value_or(0) >= offset && configurationOffset(status->body);
            });
            if (missing.empty() || std::chrono::steady_clock::now() >= end)
                break;
            std::this_thread::sleep_for(pollInterval);
        }
        result["inForce"] = missing.empty();
        result["missing"] = json::array();
        for (const auto& it : missing)
            result["missing"].push_back(toString(it));
        context.printJson(result);
        if (missing.empty()) {
            context.printText("in force on " + std::to_string(context.settings->nodes.size()) + " nodes");
            return ExitCode::Ok;
        }
        if (!context.isJson)
            context.err << "not in force in time on " << missing.size() << " of " << context.settings->nodes.size() << " nodes, first " << toString(missing.front()) << '\n';
        return ExitCode::Timeout;
    }

    /// Tells the result of the publisher.
    class ResultReport {
    public:
        ResultReport(const Context& context, const Plan& plan, std::chrono::steady_clock::time_point end)
            : m_context(context)
            , m_plan(plan)
            , m_end(end)
            , m_json({ { "id", toString(plan.request.id) } })
        {
        }

        ExitCode operator()(const Published& it)
        {
            m_json["digest"] = toHex(it.stamp.digest);
            return succeed("published", it.stamp.offset, "published");
        }

        ExitCode operator()(const PublishedBefore& it) { return succeed("published-before", it.offset, "published already by an earlier run"); }

        ExitCode operator()(const PublishRejected& it)
        {
            m_json["offset"] = it.offset;
            auto faults = reportedAll(locate(it.faults, m_plan.objects));
            if (faults.empty())
                faults.push_back(usageFault("rejected-before", "an earlier run with this id was rejected; publish with a new one"));
            if (!m_context.isJson)
                m_context.err << "rejected: nothing was changed\n";
            return reportFaults(m_context, ExitCode::Rejected, "rejected", faults, m_json);
        }

        ExitCode operator()(const CheckFailed& it)
        {
            return reportFaults(m_context, ExitCode::WrongInput, "check-failed", reportedAll(locate(it.faults, m_plan.objects)), m_json);
        }

        ExitCode operator()(const WrongKey&)
        {
            return m_context.fail(ExitCode::WrongInput, "wrong-key", "the private key is not one of the settings' public keys of member " + m_plan.request.member.value());
        }

        ExitCode operator()(const NoCheckpoint&)
        {
            return m_context.fail(ExitCode::Unavailable, "no-checkpoint", "the log has trimmed its first records and holds no checkpoint yet; nothing was published");
        }

        ExitCode operator()(const NotPublished& it)
        {
            return m_context.fail(ExitCode::Unavailable, "unavailable", "the log is " + std::string { toString(it.failure.error) } + "; nothing was published");
        }

        ExitCode operator()(const ResultUnknown& it)
        {
            const auto id = toString(it.id);
            m_json["result"] = "unknown";
            m_context.printJson(m_json);
            if (!m_context.isJson)
                m_context.err << "the log's answer was lost: the objects may have been published\nrun again with --id " << id << "; this is safe\n";
            return ExitCode::Unknown;
        }

    private:
        ExitCode succeed(const char* result, Offset offset, const std::string& text)
        {
            m_json["result"] = result;
            m_json["offset"] = offset;
            m_context.printText(text + " at offset " + std::to_string(offset) + ", id " + toString(m_plan.request.id));
            if (m_context.options.count("wait") > 0)
                return waitUntilInForce(m_context, offset, m_end, m_json);
            m_context.printJson(m_json);
            return ExitCode::Ok;
        }

        const Context& m_context;
        const Plan& m_plan;
        std::chrono::steady_clock::time_point m_end;
        json m_json;
    };

    /// \returns what is missing in the settings for publishing; empty if nothing is.
    std::optional<std::string> missingSetting(const Context& context)
    {
        const auto& settings = *context.settings;
        if (settings.log.endpoints.empty())
            return "log.endpoints";
        if (settings.member.name.empty())
            return "member.name";
        if (settings.member.privateKey.empty())
            return "member.private-key or member.private-key-file";
        if (context.options.count("wait") > 0 && settings.nodes.empty())
            return "nodes, which --wait asks";
        return std::nullopt;
    }

    ExitCode publish(const Context& context)
    {
        if (const auto missing = missingSetting(context))
            return context.fail(ExitCode::WrongInput, "missing-setting", "publishing needs the setting " + *missing);
        const auto& settings = *context.settings;
        const auto timeout = context.duration("timeout").value_or(std::chrono::ceil<std::chrono::milliseconds>(settings.timeouts.accepted));
        const auto plan = planOf(context);
        if (!plan.faults.empty())
            return reportFaults(context, ExitCode::WrongInput, "faults", plan.faults);
        if (plan.request.changes.empty())
            return context.fail(ExitCode::WrongInput, "nothing-to-publish", "nothing to publish: name object files or --delete kind/name");
        auto keys = trustedKeys(settings);
        auto key = KeyPair::fromHex(settings.member.privateKey.digits);
        if (!keys || !key)
            return context.fail(ExitCode::WrongInput, "bad-key", "a key of the settings is no Ed25519 key");
        const auto end = std::chrono::steady_clock::now() + timeout;
        auto result = runPublisher(settings, plan.request, key.value(), keys.value(), timeout);
        return std::visit(ResultReport { context, plan, end }, result);
    }

}

Command publishCommand()
{
    const auto declare = [](cxxopts::Options& options) {
        options.add_options()("delete", "Delete an object, such as route/booking-create; may be given again", cxxopts::value<std::vector<std::string>>(), "KIND/NAME");
        options.add_options()("id", "Id that an earlier run printed, whose result is unknown", cxxopts::value<std::string>(), "ID");
        options.add_options()("wait", "Wait until all nodes of the settings have it in force");
        options.add_options()("timeout", "Longest time for the whole, such as 30s", cxxopts::value<std::string>(), "DURATION");
    };
    return { "publish", "[FILE...]", "Publish objects: all of the files together, or nothing", 0, maximumFiles, true, declare, publish };
}

}
