#pragma once

#include "carobpath/membership/NodeEntry.h"
#include "carobpath/platform/StoreClient.h"
#include "carobpath/publication/CheckpointSchedule.h"
#include "carobpath/publication/ConfigurationLogFollower.h"
#include "internal/NodeContext.h"

namespace carobpath::node::Detail {

/// Appends checkpoints of the fold when this node is due among the readers of the log.
class CheckpointDriver {
public:
    CheckpointDriver(NodeContext&, platform::StoreClient&, const publication::KeyPair& fleetKey);

    /// To be called where the fold was started from a checkpoint.
    void onRecovered(const publication::CheckpointMatched&);

    /// To be called for each folded record.
    void onStep(const publication::AppliedRecord&);

    /// To be called about once a second while this node reads the log.
    void onTick(const publication::ConfigurationLogFollower&, const membership::MembershipView&);

private:
    void write(const publication::ConfigurationLogFollower&);

    NodeContext& m_context;
    platform::StoreClient& m_log;
    publication::KeyPair m_fleetKey;
    publication::CheckpointSchedule m_checkpointing;
    std::uint64_t m_sequence = 0;
};

}
