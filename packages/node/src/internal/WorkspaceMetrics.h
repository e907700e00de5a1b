#pragma once

#include "carobpath/gateway/GatewayHooks.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace carobpath::node::Detail {

/// Counters of callers' calls by workspace. Workspaces past the bound share the label "other".
class WorkspaceMetrics {
public:
    /// Workspaces with a label of their own: the first that call.
    static constexpr std::size_t s_mostWorkspaces = 64;

    explicit WorkspaceMetrics(prometheus::Registry&);

    /// Leaves out a call of which no workspace is known.
    void onCall(const gateway::CallObservation&);

private:
    using End = std::pair<routing::Outcome, std::optional<routing::RefusalReason>>;
    using Ends = std::map<End, prometheus::Counter*>;

    prometheus::Counter& counterOf(const WorkspaceName& label, const End&);

    prometheus::Family<prometheus::Counter>& m_calls;
    std::unordered_map<WorkspaceName, Ends> m_workspaces;
};

}
