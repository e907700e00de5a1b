#include "internal/CheckpointDriver.h"

#include "carobpath/distribution/ReaderElection.h"
#include "carobpath/foundation/EventNames.h"
#include "carobpath/publication/Record.h"

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    /// A checkpoint is made anew after this part of the log's retention at the latest.
    constexpr int checkpointsPerRetention = 8;

    publication::CheckpointPolicy policyFor(const NodeSettings& settings)
    {
        publication::CheckpointPolicy policy;
        const auto part = std::chrono::duration_cast<std::chrono::milliseconds>(settings.log.retention) / checkpointsPerRetention;
        policy.age = std::min(policy.age, part);
        policy.takeoverDelay = std::min(policy.takeoverDelay, part / 4);
        policy.retry = std::min(policy.retry, part);
        return policy;
    }

    std::vector<NodeName> readers(const membership::MembershipView& view)
    {
        std::vector<NodeName> names;
        for (const auto& node : view.nodes) {
            if (distribution::isLogReader(view, node.entry.name, node.entry.domain))
                names.push_back(node.entry.name);
        }
        return names;
    }

}

CheckpointDriver::CheckpointDriver(NodeContext& context, platform::StoreClient& log, const publication::KeyPair& fleetKey)
    : m_context(context)
    , m_log(log)
    , m_fleetKey(fleetKey)
    , m_checkpointing(context.settings.name, policyFor(context.settings))
{
}

void CheckpointDriver::onRecovered(const publication::CheckpointMatched& start)
{
    m_checkpointing.onCheckpointLoaded(start.next, start.writtenAt);
}

void CheckpointDriver::onStep(const publication::AppliedRecord& step)
{
    m_checkpointing.onRecord(step.offset, step.outcome);
}

void CheckpointDriver::onTick(const publication::ConfigurationLogFollower& follower, const membership::MembershipView& view)
{
    if (follower.caughtUp() && m_checkpointing.poll(readers(view), NodeContext::now()))
        write(follower);
}

void CheckpointDriver::write(const publication::ConfigurationLogFollower& follower)
{
    publication::CheckpointRecord record;
    record.id = publication::RecordId { m_context.settings.name.value() + ".checkpoints", m_context.incarnation, ++m_sequence };
    record.writer = m_context.settings.name;
    record.state = *follower.replicatedState();
    record.writtenAt = NodeContext::now().wall;
    const auto next = record.state.next;
    const auto bytes = publication::encodeRecord(publication::sign(std::move(record), m_fleetKey));
    m_log.append(m_context.settings.log.stream, bytes, [this, next](const publication::AppendResult& result) {
        if (std::holds_alternative<publication::Appended>(result))
            m_context.events.record(Event(event::checkpointWritten).with("next", next));
    });
}

}
