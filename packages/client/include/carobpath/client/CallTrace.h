#pragma once

/// \file
/// Collects what the event logs of all processes hold about one call.

#include "carobpath/client/Timeline.h"
#include "carobpath/foundation/Identifier.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carobpath::client {

/// The end of the call at the node that it entered.
struct CallEnded {
    unsigned status = 0;
    std::string outcome;
    /// Empty where a backend server's answer was passed on.
    std::string reason;
    std::uint64_t attempts = 0;
    std::chrono::duration<double, std::milli> took {};
    /// Nothing where the route has none.
    std::optional<std::chrono::duration<double, std::milli>> objective;
    /// Empty where the call's API key names none.
    std::string workspace;
    /// Version of the configuration that decided; nothing where the node had none.
    std::optional<std::uint64_t> configuration;
    /// Time since the store last confirmed it; told where it does not know what the caller named.
    std::optional<std::chrono::duration<double, std::milli>> configurationAge;
    /// How the writing of the answer was cut short; empty where it was whole.
    std::string cut;
};

/// One attempt, as the entry node saw it end.
struct AttemptEnded {
    std::uint64_t number = 0;
    std::string node;
    std::string outcome;
    std::string reason;
    std::chrono::duration<double, std::milli> took {};
};

/// A backend server's part in the call.
struct BackendEnded {
    std::string process;
    std::string result;
    std::chrono::duration<double, std::milli> took {};
};

/// Something that a process on the call's path held to be true while it dealt with the call.
struct Belief {
    TimelineEvent event;
    /// Time from the event to the call's last line.
    std::chrono::milliseconds age {};
};

/// Lines about calls that a process left out, for their number or a reader that was too slow, while the call ran.
struct LeftOutLines {
    std::string process;
    std::string event;
    std::uint64_t count = 0;
};

/// All that is known of one call.
struct CallTrace {
    RequestId request;
    /// The lines under the call's id in causal order.
    std::vector<TimelineEvent> lines;
    std::optional<CallEnded> end;
    std::vector<AttemptEnded> attempts;
    std::vector<BackendEnded> backends;
    std::vector<Belief> beliefs;
    std::vector<LeftOutLines> leftOut;

    /// True where the call's end was logged and no process left out lines about calls while it ran.
    bool isComplete() const { return end && leftOut.empty(); }
};

/// \returns the name under which a node's process writes its events.
std::string processOf(const std::string& node);

/// \param events all events of all processes in causal order.
CallTrace traceOf(const RequestId&, std::span<const TimelineEvent> events);

}
