#include "carobpath/foundation/Log.h"
#include "carobpath/foundation/NodeSettings.h"
#include "carobpath/foundation/NonBlockingOutput.h"
#include "carobpath/gateway/Gateway.h"
#include "carobpath/node/Daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace carobpath;

constexpr int exitOk = 0;
constexpr int exitBadSettings = 1;
constexpr int exitUsage = 2;
constexpr int exitCannotStart = 4;

/// Reads the settings anew at each SIGHUP, until its context stops.
class Reloader {
public:
    Reloader(boost::asio::io_context& context, node::Daemon& daemon, std::string settingsFile)
        : m_signals(context, SIGHUP)
        , m_daemon(daemon)
        , m_settingsFile(std::move(settingsFile))
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (ec)
                return;
            reload();
            wait();
        });
    }

    void reload()
    {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(settings, loadNodeSettings(m_settingsFile));
                setLogLevel(settings.logLevel);
                m_daemon.onSettingsRead(settings);
                return {};
            },
            [&](const SettingsFaults& faults) { m_daemon.onSettingsRefused(faults); },
            [&] { m_daemon.onSettingsRefused(SettingsFaults {}); });
    }

    boost::asio::signal_set m_signals;
    node::Daemon& m_daemon;
    std::string m_settingsFile;
};

void run(boost::asio::io_context& context, node::Daemon& daemon, const std::string& settingsFile)
{
    const Reloader reloader(context, daemon, settingsFile);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec)
            daemon.stop([&context] { context.stop(); });
    });
    context.run();
}

int serve(const std::string& settingsFile)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, loadNodeSettings(settingsFile));
            startLogging(LogSettings { settings.logLevel, settings.name.value() });
            NonBlockingOutput timeLine(STDOUT_FILENO);
            boost::asio::io_context context { 1 };
            BOOST_LEAF_AUTO(daemon, node::Daemon::start(context, settings, timeLine));
            run(context, *daemon, settingsFile);
            return exitOk;
        },
        [](const SettingsFaults& faults) {
            for (const auto& fault : faults.faults)
                std::cerr << toString(fault) << '\n';
            return exitBadSettings;
        },
        [&](const node::BadKeySetting& fault) {
            std::cerr << settingsFile << ": " << fault.key << ": is no Ed25519 key\n";
            return exitBadSettings;
        },
        [](const gateway::ListenFailure& failure) {
            std::cerr << "cannot listen on " << toString(failure.endpoint) << ": " << std::strerror(failure.systemError) << '\n';
            return exitCannotStart;
        },
        [] {
            std::cerr << "cannot start\n";
            return exitCannotStart;
        });
}

int check(const std::string& settingsFile)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(loadNodeSettings(settingsFile));
            std::cout << settingsFile << ": ok\n";
            return exitOk;
        },
        [](const SettingsFaults& faults) {
            for (const auto& fault : faults.faults)
                std::cerr << toString(fault) << '\n';
            return exitBadSettings;
        },
        [] { return exitBadSettings; });
}

cxxopts::Options commandLine()
{
    cxxopts::Options options("carobpathd", "The node beside one backend server.\n"
                                           "Exit codes: 0 stopped or settings are right, 1 wrong settings, 2 wrong usage, 4 cannot start.");
    options.add_options()("settings", "File with the node's settings", cxxopts::value<std::string>(), "FILE");
    options.add_options()("check", "Check the settings and exit");
    options.add_options()("h,help", "Print this help");
    return options;
}

int runCommandLine(int argc, char** argv)
{
    auto options = commandLine();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return exitOk;
        }
        if (arguments.count("settings") == 0 || !arguments.unmatched().empty()) {
            std::cerr << options.help();
            return exitUsage;
        }
        const auto& file = arguments["settings"].as<std::string>();
        return arguments.count("check") != 0 ? check(file) : serve(file);
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << e.what() << '\n';
        return exitUsage;
    }
}

}

int main(int argc, char** argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "carobpathd: %s\n", e.what());
        return exitCannotStart;
    }
}
