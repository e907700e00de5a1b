#pragma once

#include <cstdint>
#include <string_view>

namespace carobpath::peer {

/// Why a call to a peer did not end in an answer.
enum class PeerFault : std::uint8_t {
    ConnectFailed,
    TimedOut,
    /// The connection ended or broke while the call was under way.
    Disconnected,
    /// The answer is not one of the protocol.
    MalformedAnswer,
    /// The client holds too many calls already.
    TooManyCalls,
    /// The peer serves too many others; come back later.
    Busy,
};

struct PeerError {
    PeerFault fault = PeerFault::ConnectFailed;
};

/// Why a message was refused by its receiver.
enum class MessageFault : std::uint8_t {
    NameMissing,
    NameTooLong,
    BadDigest,
    BadEnum,
    BadBuckets,
    BadLatency,
    BadEntry,
    TooManyEntries,
    BadEndpoint,
};

struct MessageError {
    MessageFault fault = MessageFault::NameMissing;
};

/// \returns the text that stands in logs, such as "timed-out".
std::string_view toString(PeerFault);
std::string_view toString(MessageFault);

}
