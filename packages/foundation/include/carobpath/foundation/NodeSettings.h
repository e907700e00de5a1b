#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Log.h"
#include "carobpath/foundation/MemberSettings.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/foundation/SettingDescription.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobpath {

/// Settings of one node.
struct NodeSettings {
    NodeName name;
    RegionName region;
    FailureDomainName failureDomain;

    /// Addresses that the node binds; port 0 takes any free port.
    struct Listen {
        Endpoint callers;
        Endpoint calls;
        Endpoint peer;
        Endpoint admin;
        /// Where readiness and announcements are served apart from the admin address.
        std::optional<Endpoint> readiness;
        std::optional<Endpoint> announcements;
    } listen;

    PlatformKind platform = PlatformKind::Own;

    /// The backend server that belongs beside the node.
    struct Backend {
        ServiceName service;
        std::optional<Endpoint> address;
    } backend;

    /// What all nodes together may send again to one service's backend servers.
    struct Retries {
        double partOfCalls = 0;
        double slack = 0;
        std::chrono::microseconds window {};
    } retries;

    /// The platform's log.
    struct Log {
        std::vector<Endpoint> endpoints;
        std::string stream;
        std::chrono::microseconds retention {};
        /// 0 where the rate is not known.
        double readMegabytes = 0;
    } log;

    /// Peer addresses of nodes to join by.
    std::vector<Endpoint> seeds;

    /// Ed25519 private key that nodes sign verdicts and checkpoints with.
    HexKey fleetKey;
    std::string fleetKeyFile;

    std::vector<MemberSettings> members;

    /// Bounds of what the node holds at one time.
    struct Limits {
        std::uint64_t headerBytes = 0;
        std::uint64_t bodyBytes = 0;
        std::uint64_t heldBytes = 0;
        /// 0 for what the system reports.
        double memoryMegabytes = 0;
        std::int64_t pipelinedRequests = 0;
        std::uint64_t readAheadBytes = 0;
        std::int64_t callerConnections = 0;
        /// 0 where the link is not known.
        double linkMegabits = 0;
        bool linkPacing = false;
        bool innerCalls = false;
    } limits;

    struct Timeouts {
        std::chrono::microseconds callerIdle {};
        std::chrono::microseconds callerHeader {};
        std::chrono::microseconds connect {};
        std::chrono::microseconds progress {};
        std::chrono::microseconds log {};
        std::chrono::microseconds logWait {};
    } timeouts;

    /// What a bad version may get between the order of a move and its deadline.
    struct Exposure {
        double part = 0;
        double slack = 0;
    } exposure;

    /// By how much a workspace may exceed its rate limit.
    struct Quota {
        std::chrono::microseconds window {};
        double overage = 0;
        double slack = 0;
    } quota;

    /// How calls are spread over the upstreams of a service.
    struct Balancing {
        /// 0 to weigh upstreams by their last answers alone.
        std::chrono::microseconds speedMemory {};
    } balancing;

    struct Drain {
        std::chrono::microseconds grace {};
        std::chrono::microseconds accept {};
    } drain;

    LogLevel logLevel = LogLevel::Info;
};

/// \returns the settings, or SettingsFaults with every fault of the text. Files that it names are read.
Result<NodeSettings> readNodeSettings(std::string_view yaml, const std::string& file);

/// Reads the file and its settings, or SettingsFaults.
Result<NodeSettings> loadNodeSettings(const std::string& file);

const std::vector<SettingDescription>& nodeSettingDescriptions();

}
