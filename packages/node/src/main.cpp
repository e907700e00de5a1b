#include "carobpath/foundation/Log.h"
#include "carobpath/foundation/NodeSettings.h"
#include "carobpath/foundation/NonBlockingOutput.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/Gateway.h"
#include "carobpath/node/Daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace carobpath;

constexpr int exitOk = 0;
constexpr int exitBadSettings = 1;
constexpr int exitUsage = 2;
constexpr int exitCannotStart = 4;

/// Time for which a start is repeated while one of its addresses is taken: by the process before it, or by a connection that
/// was given the port for a moment.
constexpr std::chrono::seconds listenPatience { 5 };
constexpr std::chrono::milliseconds listenRetryInterval { 250 };

/// Blocks the signals that the daemon handles until its handlers are installed: by default each of them ends the process.
class BlockedSignals {
public:
    BlockedSignals()
    {
        ::sigemptyset(&m_signals);
        for (const int it : { SIGTERM, SIGINT, SIGHUP })
            ::sigaddset(&m_signals, it);
        ::pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }

    /// Delivers those that came meanwhile.
    void unblock() const { ::pthread_sigmask(SIG_UNBLOCK, &m_signals, nullptr); }

    /// \returns whether the process was asked to stop.
    static bool isStopPending()
    {
        sigset_t pending {};
        ::sigpending(&pending);
        return ::sigismember(&pending, SIGTERM) == 1 || ::sigismember(&pending, SIGINT) == 1;
    }

private:
    sigset_t m_signals {};
};

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

void run(boost::asio::io_context& context, node::Daemon& daemon, const std::string& settingsFile, const BlockedSignals& blockedSignals)
{
    const Reloader reloader(context, daemon, settingsFile);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec)
            daemon.stop([&context] { context.stop(); });
    });
    blockedSignals.unblock();
    context.run();
}

std::string toString(const gateway::ListenFailure& failure)
{
    return "cannot listen on " + carobpath::toString(failure.endpoint) + ": " + std::strerror(failure.systemError);
}

/// \returns the daemon; null if one of its addresses is taken and it is not \p giveUpAt yet.
Result<std::unique_ptr<node::Daemon>> tryStart(boost::asio::io_context& context, const NodeSettings& settings, std::ostream& timeLine, MonotonicTime giveUpAt)
{
    return boost::leaf::try_handle_some(
        [&] { return node::Daemon::start(context, settings, timeLine); },
        [&](const gateway::ListenFailure& failure) -> Result<std::unique_ptr<node::Daemon>> {
            if (failure.systemError != EADDRINUSE || MonotonicClock::now() >= giveUpAt)
                return boost::leaf::new_error(failure);
            Logger("node").warn(toString(failure) + "; trying again");
            return nullptr;
        });
}

/// Returns once the daemon has stopped, or was asked to before it could start.
Result<void> startAndRun(const NodeSettings& settings, const std::string& settingsFile, std::ostream& timeLine, const BlockedSignals& blockedSignals)
{
    const auto giveUpAt = MonotonicClock::now() + listenPatience;
    while (true) {
        boost::asio::io_context context { 1 };
        BOOST_LEAF_AUTO(daemon, tryStart(context, settings, timeLine, giveUpAt));
        if (daemon) {
            run(context, *daemon, settingsFile, blockedSignals);
            return {};
        }
        if (BlockedSignals::isStopPending())
            return {};
        std::this_thread::sleep_for(listenRetryInterval);
    }
}

int serve(const std::string& settingsFile)
{
    const BlockedSignals blockedSignals;
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, loadNodeSettings(settingsFile));
            startLogging(LogSettings { settings.logLevel, settings.name.value() });
            NonBlockingOutput timeLine(STDOUT_FILENO);
            BOOST_LEAF_CHECK(startAndRun(settings, settingsFile, timeLine, blockedSignals));
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
            std::cerr << toString(failure) << '\n';
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
