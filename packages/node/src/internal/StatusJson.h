#pragma once

#include "carobpath/membership/NodeEntry.h"
#include "carobpath/moves/TrafficSplit.h"
#include "carobpath/publication/ConfigurationSet.h"
#include "internal/NodeContext.h"

#include <functional>
#include <memory>
#include <string>

namespace carobpath::node::Detail {

/// What \c GET /v1/status tells.
struct NodeStatus {
    const NodeSettings* settings = nullptr;
    Incarnation incarnation;
    bool ready = false;
    bool draining = false;
    bool reader = false;
    publication::ConfigurationPointer configuration;
    std::shared_ptr<const membership::MembershipView> view;
    std::function<moves::TrafficSplit(const ServiceName&)> share;
};

/// \returns one JSON object; docs/INTERFACES.md gives its shape.
std::string statusJson(const NodeStatus&);

}
