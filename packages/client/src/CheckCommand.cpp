#include "carobpath/foundation/EventLog.h"
#include "carobpath/foundation/NodeSettings.h"
#include "internal/Commands.h"
#include "internal/FaultJson.h"

namespace carobpath::client::Detail {

namespace {

    constexpr std::size_t maximumFiles = 1000;

    MemberName memberOf(const Context& context)
    {
        if (context.options.count("member") > 0)
            return MemberName { context.options["member"].as<std::string>() };
        if (context.settings && !context.settings->member.name.empty())
            return context.settings->member.name;
        // Objects that name no member all belong to one, whatever its name.
        return MemberName { "member" };
    }

    /// \returns the faults of a node's settings.
    ReportedFaults checkNodeSettings(const std::string& file)
    {
        ReportedFaults found;
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                auto settings = loadNodeSettings(file);
                return settings ? Result<void> {} : settings.error();
            },
            [&](const SettingsFaults& faults) { found = reportedAll(faults.faults); },
            [&] { found.push_back(reported(SettingsFault { file, 0, 0, "", SettingsFaultKind::UnreadableFile, "can't be read" })); });
        return found;
    }

    publication::ObjectFaults checkFiles(const Context& context, std::size_t& count)
    {
        const auto member = memberOf(context);
        const publication::ObjectFileOptions options { member, wallNow() };
        std::vector<publication::LocatedObject> objects;
        publication::ObjectFaults faults;
        for (const auto& path : context.operands) {
            auto file = publication::readObjectFile(path, options);
            faults.insert(faults.end(), file.faults.begin(), file.faults.end());
            std::move(file.objects.begin(), file.objects.end(), std::back_inserter(objects));
        }
        count = objects.size();
        // References to an object that could not be read would be reported as dangling.
        if (!faults.empty() || context.operands.empty())
            return faults;
        return publication::checkObjects(objects, {}, {}, member);
    }

    ExitCode check(const Context& context)
    {
        if (context.operands.empty() && context.options.count("node-settings") == 0 && !context.settings)
            return context.fail(ExitCode::Usage, "usage", "nothing to check: name object files, --settings or --node-settings");
        std::size_t count = 0;
        auto faults = reportedAll(checkFiles(context, count));
        if (context.options.count("node-settings") > 0) {
            const auto more = checkNodeSettings(context.options["node-settings"].as<std::string>());
            faults.insert(faults.end(), more.begin(), more.end());
        }
        if (!faults.empty())
            return reportFaults(context, ExitCode::WrongInput, "faults", faults);
        context.printJson({ { "result", "ok" }, { "objects", count } });
        context.printText("ok: " + std::to_string(count) + " objects");
        return ExitCode::Ok;
    }

}

Command checkCommand()
{
    const auto declare = [](cxxopts::Options& options) {
        options.add_options()("member", "Member of objects that name none", cxxopts::value<std::string>(), "NAME");
        options.add_options()("node-settings", "Check the settings of a node, too", cxxopts::value<std::string>(), "FILE");
    };
    return { "check", "FILE...", "Check object files and settings; asks no process", 0, maximumFiles, false, declare, check };
}

}
