#pragma once

/// \file
/// Upstream and requests for tests of the admitting node.

#include "carobpath/routing/AdmissionController.h"

#include <algorithm>
#include <string>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

inline membership::Upstream makeUpstream(
    membership::UpstreamState state = membership::UpstreamState::Ready, std::uint32_t slots = 6)
{
    membership::Upstream it;
    it.service = ServiceName { "booking" };
    it.version = VersionName { "v1" };
    it.slots = slots;
    it.connections = 130;
    it.state = state;
    return it;
}

/// An admission controller with a virtual clock.
struct AdmissionFixture {
    AdmissionController controller;
    MonotonicTime now { 1000s };
    int requests = 0;

    explicit AdmissionFixture(membership::Upstream upstream = makeUpstream(), AdmissionPolicy policy = {})
        : controller(policy)
    {
        controller.setUpstream(upstream, now);
    }

    AdmissionRequest request(publication::TrafficClass trafficClass = publication::TrafficClass::Short,
        publication::Repeatability repeatability = publication::Repeatability::Repeatable)
    {
        AdmissionRequest it;
        it.id = RequestId { "r" + std::to_string(++requests) };
        it.service = ServiceName { "booking" };
        it.version = VersionName { "v1" };
        it.trafficClass = trafficClass;
        it.repeatability = repeatability;
        it.deadline = now + 2s;
        return it;
    }
    AdmissionRequest booking()
    {
        return request(publication::TrafficClass::Short, publication::Repeatability::NotRepeatable);
    }
    AdmissionRequest download() { return request(publication::TrafficClass::Download); }

    AdmissionCommands arrive(const AdmissionRequest& it) { return controller.onArrival(it, now); }
    AdmissionCommands finish(
        const RequestId& id, BackendResult result = BackendResult::Answered, std::chrono::nanoseconds time = 10ms)
    {
        return controller.onFinished({ id, result, time }, now);
    }

    /// Sends calls one after the other, each of which ends with this result.
    void fail(BackendResult result, int calls)
    {
        for (int i = 0; i < calls; ++i) {
            const auto it = request();
            arrive(it);
            finish(it.id, result);
        }
    }

    /// Runs calls until the limit has reached the number of slots.
    void warmUp(std::uint32_t slots = 6)
    {
        while (controller.limit() < slots) {
            std::vector<RequestId> ids;
            for (std::uint32_t i = 0, limit = controller.limit(); i < limit; ++i) {
                ids.push_back(request().id);
                auto it = request();
                it.id = ids.back();
                arrive(it);
            }
            for (const auto& id : ids)
                finish(id);
        }
    }
};

inline bool isDispatched(const AdmissionCommands& commands, const RequestId& id)
{
    return std::any_of(commands.begin(), commands.end(), [&](const AdmissionCommand& command) {
        const auto* it = std::get_if<Dispatch>(&command);
        return it && it->id == id;
    });
}

inline std::optional<Refusal> refusalOf(const AdmissionCommands& commands, const RequestId& id)
{
    for (const auto& command : commands) {
        const auto* it = std::get_if<Reject>(&command);
        if (it && it->id == id)
            return it->refusal;
    }
    return std::nullopt;
}

}
