#pragma once

#include "carobpath/foundation/NodeSettings.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/foundation/SettingsFault.h"
#include "carobpath/node/BadKeySetting.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <iosfwd>
#include <memory>

namespace carobpath::node {

/// One node: wires the slices to sockets, timers, the log and the peers. Runs on one thread.
class Daemon {
public:
    /// Listens on every address of the settings.
    /// \param events takes the time line.
    /// Fails with \c gateway::ListenFailure or \c BadKeySetting.
    static Result<std::unique_ptr<Daemon>> start(boost::asio::io_context&, const NodeSettings&, std::ostream& events);

    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Takes no new work, lets what is in flight end within the grace of the settings, then calls back once.
    void stop(std::function<void()> stopped);

    /// The settings file was read again. What can change while running is in force at once; the rest is reported as
    /// waiting for the next start.
    void onSettingsRead(const NodeSettings&);
    /// The settings file was read again and is wrong; what is in force stays.
    void onSettingsRefused(const SettingsFaults&);

private:
    class Implementation;
    explicit Daemon(std::unique_ptr<Implementation>);

    std::unique_ptr<Implementation> m_implementation;
};

}
