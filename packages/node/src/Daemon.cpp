#include "carobpath/node/Daemon.h"

#include "internal/NodeAssembly.h"

#include <utility>

namespace carobpath::node {

class Daemon::Implementation : public Detail::NodeAssembly {
public:
    using NodeAssembly::NodeAssembly;
};

Daemon::Daemon(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::start(boost::asio::io_context& context, const NodeSettings& settings, std::ostream& events)
{
    auto implementation = std::make_unique<Implementation>(context, settings, events);
    BOOST_LEAF_CHECK(implementation->start());
    return std::unique_ptr<Daemon> { new Daemon(std::move(implementation)) };
}

void Daemon::stop(std::function<void()> stopped)
{
    m_implementation->stop(std::move(stopped));
}

void Daemon::onSettingsRead(const NodeSettings& settings)
{
    m_implementation->onSettingsRead(settings);
}

void Daemon::onSettingsRefused(const SettingsFaults& faults)
{
    m_implementation->onSettingsRefused(faults);
}

}
