#include "internal/SettingsConversions.h"

#include "carobpath/node/BadKeySetting.h"

#include <algorithm>
#include <unistd.h>

namespace carobpath::node::Detail {

namespace {

    constexpr double bytesPerMegabit = 125'000;
    constexpr double bytesPerMegabyte = 1'000'000;
    /// Part of an instance's memory that requests may hold. The rest is for the node itself, for connections and what they keep unread, and
    /// for what the allocator does not give back.
    constexpr double heldPart = 0.5;

    /// \returns the memory that the system reports, in bytes; negative where it does not.
    double systemMemory() { return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)); }

    std::uint64_t heldBytesOf(const NodeSettings& settings)
    {
        const auto& limits = settings.limits;
        const double memory = limits.memoryMegabytes > 0 ? limits.memoryMegabytes * bytesPerMegabyte : systemMemory();
        if (memory <= 0)
            return limits.heldBytes;
        return std::min(limits.heldBytes, static_cast<std::uint64_t>(memory * heldPart));
    }

}

gateway::GatewayLimits limitsOf(const NodeSettings& settings)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    gateway::GatewayLimits limits;
    limits.headerBytes = static_cast<std::uint32_t>(settings.limits.headerBytes);
    limits.bodyBytes = settings.limits.bodyBytes;
    limits.heldBytes = heldBytesOf(settings);
    limits.pipelinedRequests = static_cast<std::uint32_t>(settings.limits.pipelinedRequests);
    limits.readAheadBytes = settings.limits.readAheadBytes;
    limits.connections = static_cast<std::uint32_t>(settings.limits.callerConnections);
    limits.requestTimeout = duration_cast<milliseconds>(settings.timeouts.callerHeader);
    limits.callerIdle = duration_cast<milliseconds>(settings.timeouts.callerIdle);
    limits.connectTimeout = duration_cast<milliseconds>(settings.timeouts.connect);
    limits.bodyProgress = duration_cast<milliseconds>(settings.timeouts.progress);
    limits.linkBytesPerSecond = settings.limits.linkPacing ? settings.limits.linkMegabits * bytesPerMegabit : 0;
    return limits;
}

platform::StoreClientOptions storeOptionsOf(const NodeSettings& settings)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    platform::StoreClientOptions options;
    options.endpoints = settings.log.endpoints;
    options.connectTimeout = duration_cast<milliseconds>(settings.timeouts.connect);
    options.answerTimeout = duration_cast<milliseconds>(settings.timeouts.log);
    return options;
}

ExpectedBackend expectedBackendOf(const NodeSettings& settings)
{
    return ExpectedBackend { settings.backend.service, settings.backend.address };
}

routing::AdmissionPolicy admissionPolicyOf(const NodeSettings& settings)
{
    routing::AdmissionPolicy policy;
    // Routes of the fleet name objectives; those of carobpath's own objects are ordered by class.
    policy.order.byObjective = settings.platform == PlatformKind::Fleet;
    policy.speedMemory = settings.balancing.speedMemory;
    policy.linkBytesPerSecond = settings.limits.linkMegabits * bytesPerMegabit;
    return policy;
}

quota::QuotaPolicy quotaPolicyOf(const NodeSettings& settings)
{
    quota::QuotaPolicy policy;
    policy.window = std::chrono::duration_cast<std::chrono::milliseconds>(settings.quota.window);
    policy.overage = settings.quota.overage;
    policy.slack = settings.quota.slack;
    return policy;
}

routing::FleetRetryBound retryBoundOf(const NodeSettings& settings)
{
    routing::FleetRetryBound bound;
    bound.partOfCalls = settings.retries.partOfCalls;
    bound.slack = settings.retries.slack;
    bound.window = std::chrono::duration_cast<std::chrono::milliseconds>(settings.retries.window);
    return bound;
}

Result<publication::KeyPair> fleetKeyOf(const NodeSettings& settings)
{
    if (settings.platform == PlatformKind::Fleet)
        return publication::KeyPair::generate();
    auto key = publication::KeyPair::fromHex(settings.fleetKey.digits);
    if (!key)
        return boost::leaf::new_error(BadKeySetting { "fleet-key" });
    return key;
}

Result<publication::TrustedKeys> trustedKeysOf(const NodeSettings& settings)
{
    publication::TrustedKeys keys;
    for (const auto& member : settings.members) {
        const auto key = publication::publicKeyFromHex(member.publicKey.digits);
        if (!key)
            return boost::leaf::new_error(BadKeySetting { "members." + member.name.value() });
        keys.addMember(member.name, *key);
    }
    BOOST_LEAF_AUTO(fleet, fleetKeyOf(settings));
    keys.addFleet(fleet.publicKey());
    return keys;
}

}
