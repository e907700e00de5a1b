#include "internal/ReadMessage.h"

#include "carobpath/publication/Codec.h"

#include <boost/test/unit_test.hpp>

#include <capnp/message.h>

namespace carobpath::peer {

namespace {

    using distribution::PeerMessage;

    membership::NodeRecord nodeRecord()
    {
        membership::NodeRecord record;
        record.entry.name = NodeName { "booking-1" };
        record.entry.region = RegionName { "jordan" };
        record.entry.domain = FailureDomainName { "amman-a" };
        record.entry.revision = Revision { Incarnation { 7 }, 3 };
        record.entry.addresses.callers = Endpoint { "127.0.0.1", 1 };
        record.entry.addresses.calls = Endpoint { "127.0.0.2", 2 };
        record.entry.addresses.peer = Endpoint { "127.0.0.1", 3 };
        record.entry.addresses.admin = Endpoint { "127.0.0.1", 4 };
        record.entry.upstream = membership::Upstream { ServiceName { "booking" }, VersionName { "booking-1" }, 6, 130, membership::UpstreamState::Draining, 2, 1 };
        return record;
    }

    moves::EvidenceEntry evidenceEntry()
    {
        moves::EvidenceEntry entry;
        entry.observer = NodeName { "booking-1" };
        entry.revision = Revision { Incarnation { 7 }, 3 };
        entry.move = MoveName { "booking-to-2" };
        entry.movePublishedAt = 12;
        entry.route = RouteName { "book" };
        entry.version = VersionName { "booking-2" };
        entry.window = 4;
        entry.counts.succeeded = 10;
        entry.counts.latency[3] = 9;
        entry.counts.latency[15] = 1;
        return entry;
    }

    std::shared_ptr<const distribution::Delta> delta()
    {
        auto made = std::make_shared<distribution::Delta>();
        made->base.offset = 3;
        made->result.offset = 4;
        made->result.digest.bytes[0] = 1;
        publication::ServiceEntry service;
        service.service.name = ServiceName { "booking" };
        service.service.member = MemberName { "petra" };
        service.currentVersion = VersionName { "booking-1" };
        made->services.push_back(service);
        made->removedRoutes.emplace_back("old");
        return made;
    }

    PeerMessage fullMessage()
    {
        PeerMessage message;
        message.from = NodeName { "booking-1" };
        message.sender = Endpoint { "127.0.0.1", 3 };
        message.stamp = publication::ConfigurationStamp { 4, {} };
        message.versionFloor = publication::ConfigurationStamp { 3, {} };
        message.membershipBuckets.emplace();
        message.membershipSummary = membership::RecordSummary { 5, { 1, 2, 3 }, true };
        message.membership.records.push_back(nodeRecord());
        message.membership.suspicions.push_back({ NodeName { "a" }, Revision { Incarnation { 1 }, 2 }, NodeName { "b" } });
        message.evidence.entries.push_back(evidenceEntry());
        message.evidence.notices.push_back({ MoveName { "m" }, 12, NodeName { "a" }, { publication::MoveOutcome::TakenBack, publication::MoveReason::ErrorRate, RouteName { "book" }, "9 of 10 failed" } });
        message.delta = delta();
        message.streamEnds.push_back({ "orders", { { 3 }, 17 } });
        message.hybridMilliseconds = 99;
        message.hybridCounter = 1;
        return message;
    }

    using Change = void (*)(schema::PeerMessage::Builder);

    struct MalformedCase {
        const char* name;
        Change change;
        MessageFault fault;
    };

    const MalformedCase malformedCases[] = {
        { "no sender name", [](auto it) { it.setFrom(""); }, MessageFault::NameMissing },
        { "sender name too long", [](auto it) { it.setFrom(std::string(300, 'a').c_str()); }, MessageFault::NameTooLong },
        { "short digest", [](auto it) { it.getStamp().initDigest(5); }, MessageFault::BadDigest },
        { "unknown upstream state", [](auto it) { it.getRecords()[0].getUpstream().setState(9); }, MessageFault::BadEnum },
        { "too few buckets", [](auto it) { it.initMembershipBuckets(3); }, MessageFault::BadBuckets },
        { "latency past the last class", [](auto it) { it.getEvidence()[0].setFirstLatencyClass(15); }, MessageFault::BadLatency },
        { "entry that is no encoding", [](auto it) { it.getDelta().getServices().set(0, "{}"); }, MessageFault::BadEntry },
        { "address that is no number", [](auto it) { it.getRecords()[0].setAddress("localhost"); }, MessageFault::BadEndpoint },
        { "sender without a port", [](auto it) { it.getSender().setPort(0); }, MessageFault::BadEndpoint },
    };

}

BOOST_AUTO_TEST_SUITE(Conversions)

BOOST_AUTO_TEST_CASE(A_message_survives_the_way_to_the_schema_and_back)
{
    const PeerMessage sent = fullMessage();
    capnp::MallocMessageBuilder builder;
    write(sent, builder.initRoot<schema::PeerMessage>());

    const auto received = readMessage<PeerMessage>(builder.getRoot<schema::PeerMessage>().asReader());

    BOOST_REQUIRE(std::holds_alternative<PeerMessage>(received));
    const auto& message = std::get<PeerMessage>(received);
    BOOST_TEST((message.from == sent.from && message.sender == sent.sender));
    BOOST_TEST((message.stamp == sent.stamp && message.versionFloor == sent.versionFloor));
    BOOST_TEST((message.membershipBuckets == sent.membershipBuckets));
    BOOST_TEST((message.membershipSummary == sent.membershipSummary));
    BOOST_TEST((message.membership.records == sent.membership.records));
    BOOST_TEST((message.membership.suspicions == sent.membership.suspicions));
    BOOST_TEST((message.evidence.entries == sent.evidence.entries));
    BOOST_TEST((message.evidence.notices == sent.evidence.notices));
    BOOST_TEST((*message.delta == *sent.delta));
    BOOST_TEST((message.streamEnds == sent.streamEnds));
    BOOST_TEST(message.hybridMilliseconds == 99U);
}

BOOST_AUTO_TEST_CASE(A_malformed_message_is_refused_with_its_fault)
{
    for (const auto& it : malformedCases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            capnp::MallocMessageBuilder builder;
            auto message = builder.initRoot<schema::PeerMessage>();
            write(fullMessage(), message);
            it.change(message);

            const auto received = readMessage<PeerMessage>(message.asReader());

            const auto* error = std::get_if<MessageError>(&received);
            BOOST_REQUIRE(error);
            BOOST_TEST(toString(error->fault) == toString(it.fault));
        }
    }
}

BOOST_AUTO_TEST_CASE(The_estimated_sizes_are_near_the_encoded_ones)
{
    capnp::MallocMessageBuilder records;
    write(nodeRecord(), records.initRoot<schema::NodeRecord>());
    capnp::MallocMessageBuilder evidence;
    write(evidenceEntry(), evidence.initRoot<schema::EvidenceEntry>());
    capnp::MallocMessageBuilder deltas;
    write(*delta(), deltas.initRoot<schema::Delta>());

    const auto encoded = [](capnp::MallocMessageBuilder& it) { return static_cast<double>(it.sizeInWords() * sizeof(capnp::word)); };
    BOOST_TEST(static_cast<double>(encodedSize(nodeRecord())) == encoded(records), boost::test_tools::tolerance(0.4));
    BOOST_TEST(static_cast<double>(distribution::encodedSize(evidenceEntry())) == encoded(evidence), boost::test_tools::tolerance(0.1));
    BOOST_TEST(static_cast<double>(distribution::encodedSize(*delta())) == encoded(deltas), boost::test_tools::tolerance(0.6));
}

BOOST_AUTO_TEST_SUITE_END()

}
