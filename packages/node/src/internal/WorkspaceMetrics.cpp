#include "internal/WorkspaceMetrics.h"

#include "internal/RouteMetrics.h"

#include <string>

namespace carobpath::node::Detail {

namespace {

    const WorkspaceName otherWorkspaces { "other" };

}

WorkspaceMetrics::WorkspaceMetrics(prometheus::Registry& registry)
    : m_calls(prometheus::BuildCounter().Name("carobpath_workspace_calls_total").Help("Callers' calls that entered here, by workspace, outcome and reason.").Register(registry))
{
}

void WorkspaceMetrics::onCall(const gateway::CallObservation& call)
{
    if (call.workspace.empty())
        return;
    const bool hasLabel = m_workspaces.contains(call.workspace) || m_workspaces.size() < s_mostWorkspaces;
    counterOf(hasLabel ? call.workspace : otherWorkspaces, { call.outcome, call.reason }).Increment();
}

prometheus::Counter& WorkspaceMetrics::counterOf(const WorkspaceName& label, const End& end)
{
    auto& counter = m_workspaces[label][end];
    if (!counter)
        counter = &m_calls.Add({ { "workspace", label.value() }, { "outcome", std::string { routing::toString(end.first) } }, { "reason", reasonLabel(end.second) } });
    return *counter;
}

}
