#include "carobpath/peer/PeerError.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath::peer {

namespace {

    constexpr std::array<EnumRow<PeerFault>, 6> peerFaults { {
        { PeerFault::ConnectFailed, "connect-failed" },
        { PeerFault::TimedOut, "timed-out" },
        { PeerFault::Disconnected, "disconnected" },
        { PeerFault::MalformedAnswer, "malformed-answer" },
        { PeerFault::TooManyCalls, "too-many-calls" },
        { PeerFault::Busy, "busy" },
    } };

    constexpr std::array<EnumRow<MessageFault>, 9> messageFaults { {
        { MessageFault::NameMissing, "name-missing" },
        { MessageFault::NameTooLong, "name-too-long" },
        { MessageFault::BadDigest, "bad-digest" },
        { MessageFault::BadEnum, "bad-enum" },
        { MessageFault::BadBuckets, "bad-buckets" },
        { MessageFault::BadLatency, "bad-latency" },
        { MessageFault::BadEntry, "bad-entry" },
        { MessageFault::TooManyEntries, "too-many-entries" },
        { MessageFault::BadEndpoint, "bad-endpoint" },
    } };

}

std::string_view toString(PeerFault fault)
{
    return enumText(peerFaults, fault);
}

std::string_view toString(MessageFault fault)
{
    return enumText(messageFaults, fault);
}

}
