#include "internal/MoveDriver.h"

#include "carobpath/publication/Record.h"
#include "internal/MoveLog.h"

#include <optional>
#include <utility>
#include <variant>

namespace carobpath::node::Detail {

namespace {

    /// \returns nothing where the call says nothing of the version.
    std::optional<moves::CallResult> callResultOf(routing::BackendResult result)
    {
        switch (result) {
        case routing::BackendResult::Answered:
            return moves::CallResult::Succeeded;
        case routing::BackendResult::Refused:
            return moves::CallResult::Refused;
        case routing::BackendResult::ServerError:
        case routing::BackendResult::ConnectFailed:
        case routing::BackendResult::ConnectionLost:
        case routing::BackendResult::TimedOut:
            return moves::CallResult::Failed;
        case routing::BackendResult::Cancelled:
            return std::nullopt;
        }
        return std::nullopt;
    }

}

MoveDriver::MoveDriver(NodeContext& context, platform::StoreClient& log, const publication::KeyPair& fleetKey, std::function<void()> onNotice)
    : m_context(context)
    , m_log(log)
    , m_fleetKey(fleetKey)
    , m_onNotice(std::move(onNotice))
    , m_engine(context.settings.name, context.incarnation, context.random())
    , m_timer(context.io)
{
}

void MoveDriver::start()
{
    scheduleTick();
}

void MoveDriver::stop()
{
    m_timer.cancel();
}

void MoveDriver::onConfiguration(const publication::ConfigurationPointer& configuration)
{
    m_engine.onConfiguration(configuration, NodeContext::now());
}

void MoveDriver::onBackend(const ServiceName& service, const gateway::BackendObservation& observation)
{
    if (const auto result = callResultOf(observation.result))
        m_engine.observe(service, observation.route, observation.version, *result, observation.latency, NodeContext::now());
}

void MoveDriver::scheduleTick()
{
    m_timer.expires_after(s_tickInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        tick();
        scheduleTick();
    });
}

void MoveDriver::tick()
{
    for (const auto& command : m_engine.tick(NodeContext::now()))
        std::visit([this](const auto& it) { perform(it); }, command);
}

void MoveDriver::perform(const moves::AppendVerdict& command)
{
    publication::VerdictRecord record;
    record.id = publication::RecordId { m_context.settings.name.value(), m_context.incarnation, ++m_recordSequence };
    record.writer = m_context.settings.name;
    record.move = command.move;
    record.movePublishedAt = command.movePublishedAt;
    record.verdict = command.verdict;
    const auto bytes = publication::encodeRecord(publication::sign(std::move(record), m_fleetKey));
    // A lost answer needs no care: the engine asks again until the set in force shows a verdict, and the first one wins.
    m_log.append(m_context.settings.log.stream, bytes, [](const publication::AppendResult&) {});
}

void MoveDriver::perform(const moves::BroadcastNotice& command)
{
    recordTakenBack(m_context.events, command.notice);
    m_onNotice();
}

void MoveDriver::perform(const moves::TrafficSplitChanged& command)
{
    recordShare(m_context.events, command);
}

}
