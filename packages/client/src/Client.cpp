#include "carobpath/client/Client.h"

#include "internal/Commands.h"
#include "internal/FaultJson.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace carobpath::client {

namespace {

    using Detail::Command;
    using Detail::Context;

    constexpr std::string_view exitCodesText = "Exit codes: 0 done, 1 wrong input, 2 usage, 3 rejected, 4 log or nodes unavailable,\n"
                                               "5 result unknown (run again with the printed --id), 6 move taken back, 7 timeout,\n"
                                               "8 move withdrawn, 9 move in progress.\n";

    constexpr std::array<std::string_view, 2> globalOptionsWithValue { "--settings", "--output" };

    struct Usage {
        std::string message;
    };

    void declareGlobal(cxxopts::Options& options)
    {
        options.add_options("Global")("settings", "YAML file of the client's settings", cxxopts::value<std::string>(), "FILE");
        options.add_options("Global")("output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORMAT");
        options.add_options("Global")("h,help", "Show this help");
        options.add_options("Global")("version", "Show the version");
    }

    std::string overview()
    {
        std::ostringstream text;
        text << "Usage: carobpath [--settings FILE] [--output text|json] COMMAND ...\n\nCommands:\n";
        for (const auto& it : Detail::commands())
            text << "  " << it.words << ' ' << it.operands << "\n      " << it.summary << '\n';
        text << "\n`carobpath COMMAND --help` tells the options of a command.\n\n"
             << exitCodesText;
        return text.str();
    }

    /// \returns the arguments with the command's words first, and global options behind them.
    std::vector<std::string> withCommandFirst(const std::vector<std::string>& arguments)
    {
        std::vector<std::string> globals;
        auto it = arguments.begin();
        while (it != arguments.end() && it->starts_with('-')) {
            const bool hasValue = std::find(globalOptionsWithValue.begin(), globalOptionsWithValue.end(), *it) != globalOptionsWithValue.end();
            globals.push_back(*it++);
            if (hasValue && it != arguments.end())
                globals.push_back(*it++);
        }
        std::vector<std::string> result { it, arguments.end() };
        result.insert(result.end(), globals.begin(), globals.end());
        return result;
    }

    bool startsWith(const std::vector<std::string>& arguments, std::string_view words)
    {
        std::istringstream in { std::string { words } };
        std::string word;
        for (std::size_t i = 0; in >> word; ++i) {
            if (i >= arguments.size() || arguments[i] != word)
                return false;
        }
        return true;
    }

    std::size_t countWords(std::string_view words)
    {
        return static_cast<std::size_t>(std::count(words.begin(), words.end(), ' ')) + 1;
    }

    const Command* findCommand(const std::vector<std::string>& arguments)
    {
        const auto all = Detail::commands();
        const auto it = std::find_if(all.begin(), all.end(), [&](const Command& command) { return startsWith(arguments, command.words); });
        return it == all.end() ? nullptr : &*it;
    }

    cxxopts::Options optionsOf(const Command& command)
    {
        cxxopts::Options options { "carobpath " + std::string { command.words }, std::string { command.summary } };
        options.positional_help(std::string { command.operands });
        options.custom_help("[OPTION...]");
        declareGlobal(options);
        if (command.declare)
            command.declare(options);
        options.add_options("Hidden")("operands", "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({ "operands" });
        return options;
    }

    cxxopts::ParseResult parse(cxxopts::Options& options, const std::vector<std::string>& arguments)
    {
        std::vector<const char*> argv { "carobpath" };
        for (const auto& it : arguments)
            argv.push_back(it.c_str());
        return options.parse(static_cast<int>(argv.size()), argv.data());
    }

    std::vector<std::string> operandsOf(const Command& command, const cxxopts::ParseResult& parsed)
    {
        auto operands = parsed.count("operands") > 0 ? parsed["operands"].as<std::vector<std::string>>() : std::vector<std::string> {};
        if (operands.size() < command.leastOperands || operands.size() > command.mostOperands)
            throw Usage { "expected: carobpath " + std::string { command.words } + " " + std::string { command.operands } };
        return operands;
    }

    /// Reads the settings that the command line names. Reports every fault.
    bool loadSettings(Context& context)
    {
        if (context.options.count("settings") == 0)
            return true;
        return boost::leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_ASSIGN(context.settings, loadClientSettings(context.options["settings"].as<std::string>()));
                return true;
            },
            [&](const SettingsFaults& faults) {
                Detail::reportFaults(context, ExitCode::WrongInput, "wrong-settings", Detail::reportedAll(faults.faults));
                return false;
            },
            [&] {
                context.fail(ExitCode::WrongInput, "wrong-settings", "the settings can't be read");
                return false;
            });
    }

    bool isJson(const cxxopts::ParseResult& parsed)
    {
        const auto format = parsed["output"].as<std::string>();
        if (format != "json" && format != "text")
            throw Usage { "--output must be text or json" };
        return format == "json";
    }

    ExitCode runCommand(const Command& command, std::vector<std::string> arguments, std::ostream& out, std::ostream& err)
    {
        arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(countWords(command.words)));
        auto options = optionsOf(command);
        const auto parsed = parse(options, arguments);
        if (parsed.count("help") > 0) {
            out << options.help({ "", "Global" }) << '\n'
                << exitCodesText;
            return ExitCode::Ok;
        }
        Context context { parsed, operandsOf(command, parsed), std::nullopt, isJson(parsed), out, err };
        if (command.needsSettings && parsed.count("settings") == 0)
            throw Usage { "this command needs --settings FILE" };
        if (!loadSettings(context))
            return ExitCode::WrongInput;
        return command.run(context);
    }

    bool asksFor(const std::vector<std::string>& arguments, std::string_view option)
    {
        return std::find(arguments.begin(), arguments.end(), option) != arguments.end();
    }

    ExitCode dispatch(const std::vector<std::string>& given, std::ostream& out, std::ostream& err)
    {
        const auto arguments = withCommandFirst(given);
        if (const auto* command = findCommand(arguments))
            return runCommand(*command, arguments, out, err);
        if (asksFor(arguments, "--version")) {
            out << "carobpath " << CAROBPATH_VERSION << '\n';
            return ExitCode::Ok;
        }
        if (asksFor(arguments, "--help") || asksFor(arguments, "-h")) {
            out << overview();
            return ExitCode::Ok;
        }
        const bool hasCommand = !arguments.empty() && !arguments.front().starts_with('-');
        throw Usage { hasCommand ? "unknown command: " + arguments.front() : "no command given" };
    }

}

ExitCode runClient(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    try {
        return dispatch(arguments, out, err);
    } catch (const Usage& usage) {
        err << "carobpath: " << usage.message << "; see carobpath --help\n";
    } catch (const cxxopts::exceptions::exception& e) {
        err << "carobpath: " << e.what() << "; see carobpath --help\n";
    }
    return ExitCode::Usage;
}

}
