#include "ConversionParts.h"

#include <algorithm>

namespace carobpath::peer {

namespace {

    using Detail::malformed;
    using Detail::textOf;

    template <typename Items>
    unsigned sizeOf(const Items& items)
    {
        return static_cast<unsigned>(items.size());
    }

    void writeNews(const distribution::PeerMessage& message, schema::PeerMessage::Builder to)
    {
        if (!message.membership.records.empty())
            Detail::writeAll(message.membership.records, to.initRecords(sizeOf(message.membership.records)));
        if (!message.membership.suspicions.empty())
            Detail::writeAll(message.membership.suspicions, to.initSuspicions(sizeOf(message.membership.suspicions)));
        if (!message.evidence.entries.empty())
            Detail::writeAll(message.evidence.entries, to.initEvidence(sizeOf(message.evidence.entries)));
        if (!message.evidence.notices.empty())
            Detail::writeAll(message.evidence.notices, to.initNotices(sizeOf(message.evidence.notices)));
        if (message.delta)
            write(*message.delta, to.initDelta());
    }

    Result<void> readNews(schema::PeerMessage::Reader from, distribution::PeerMessage& message)
    {
        BOOST_LEAF_ASSIGN(message.membership.records, Detail::readAll<membership::NodeRecord>(from.getRecords()));
        BOOST_LEAF_ASSIGN(message.membership.suspicions, Detail::readAll<membership::Suspicion>(from.getSuspicions()));
        BOOST_LEAF_ASSIGN(message.evidence.entries, Detail::readAll<moves::EvidenceEntry>(from.getEvidence()));
        BOOST_LEAF_ASSIGN(message.evidence.notices, Detail::readAll<moves::TakeBackNotice>(from.getNotices()));
        if (from.hasDelta()) {
            BOOST_LEAF_AUTO(delta, read(from.getDelta()));
            message.delta = std::make_shared<const distribution::Delta>(std::move(delta));
        }
        return {};
    }

    void writeBuckets(const membership::TableDigest::Buckets& buckets, capnp::List<std::uint64_t>::Builder list)
    {
        for (unsigned i = 0; i < list.size(); ++i)
            list.set(i, buckets[i]);
    }

    Result<membership::TableDigest::Buckets> readBuckets(capnp::List<std::uint64_t>::Reader list)
    {
        membership::TableDigest::Buckets buckets {};
        if (list.size() != buckets.size())
            return malformed(MessageFault::BadBuckets);
        std::copy(list.begin(), list.end(), buckets.begin());
        return buckets;
    }

    void writeSummary(const membership::RecordSummary& summary, schema::RecordSummary::Builder to)
    {
        to.setBuckets(summary.buckets);
        auto hashes = to.initHashes(sizeOf(summary.hashes));
        for (unsigned i = 0; i < hashes.size(); ++i)
            hashes.set(i, summary.hashes[i]);
        to.setAnswerWanted(summary.answerWanted);
    }

    Result<membership::RecordSummary> readSummary(schema::RecordSummary::Reader from)
    {
        const auto hashes = from.getHashes();
        if (hashes.size() > maxListLength)
            return malformed(MessageFault::TooManyEntries);
        membership::RecordSummary summary;
        summary.buckets = from.getBuckets();
        summary.answerWanted = from.getAnswerWanted();
        summary.hashes.reserve(hashes.size());
        for (const auto it : hashes)
            summary.hashes.push_back(it);
        return summary;
    }

    void writeStreamEnds(const std::vector<distribution::StreamEnd>& ends, capnp::List<schema::StreamEnd>::Builder list)
    {
        unsigned index = 0;
        for (const auto& it : ends) {
            auto to = list[index++];
            to.setStream(textOf(it.stream));
            to.setEnd(it.end.offset);
            to.setEra(it.end.era.number);
        }
    }

    Result<std::vector<distribution::StreamEnd>> readStreamEnds(capnp::List<schema::StreamEnd>::Reader list)
    {
        if (list.size() > distribution::StreamEnds::s_maxStreams)
            return malformed(MessageFault::TooManyEntries);
        std::vector<distribution::StreamEnd> ends;
        ends.reserve(list.size());
        for (const auto it : list) {
            BOOST_LEAF_AUTO(stream, Detail::readName<NodeName>(it.getStream()));
            ends.push_back({ stream.value(), { { it.getEra() }, it.getEnd() } });
        }
        return ends;
    }

    void writeAnswerTimes(const std::vector<membership::AnswerTime>& times, capnp::List<schema::AnswerTime>::Builder list)
    {
        unsigned index = 0;
        for (const auto& it : times) {
            auto to = list[index++];
            to.setService(textOf(it.service));
            to.setMilliseconds(static_cast<std::uint32_t>(it.mean.count()));
        }
    }

    Result<std::vector<membership::AnswerTime>> readAnswerTimes(capnp::List<schema::AnswerTime>::Reader list)
    {
        if (list.size() > maxListLength)
            return malformed(MessageFault::TooManyEntries);
        std::vector<membership::AnswerTime> times;
        times.reserve(list.size());
        for (const auto it : list) {
            BOOST_LEAF_AUTO(service, Detail::readName<ServiceName>(it.getService()));
            times.push_back({ service, std::chrono::milliseconds { it.getMilliseconds() } });
        }
        return times;
    }

    Result<Endpoint> readSender(schema::Endpoint::Reader from)
    {
        if (from.getAddress().size() == 0 || from.getAddress().size() > maxNameLength || from.getPort() == 0)
            return malformed(MessageFault::BadEndpoint);
        return Endpoint { std::string(from.getAddress().begin(), from.getAddress().size()), from.getPort() };
    }

}

void write(const distribution::PeerMessage& message, schema::PeerMessage::Builder to)
{
    to.setFrom(textOf(message.from));
    auto sender = to.initSender();
    sender.setAddress(textOf(message.sender.address));
    sender.setPort(message.sender.port);
    if (message.stamp)
        Detail::writeStamp(*message.stamp, to.initStamp());
    if (message.versionFloor)
        Detail::writeStamp(*message.versionFloor, to.initFloor());
    to.setJoining(message.joining);
    to.setMembershipDigest(message.membershipDigest);
    if (message.membershipBuckets)
        writeBuckets(*message.membershipBuckets, to.initMembershipBuckets(sizeOf(*message.membershipBuckets)));
    if (message.membershipSummary)
        writeSummary(*message.membershipSummary, to.initMembershipSummary());
    writeNews(message, to);
    if (!message.streamEnds.empty())
        writeStreamEnds(message.streamEnds, to.initStreamEnds(sizeOf(message.streamEnds)));
    if (!message.answerTimes.empty())
        writeAnswerTimes(message.answerTimes, to.initAnswerTimes(sizeOf(message.answerTimes)));
    to.setHybridMilliseconds(message.hybridMilliseconds);
    to.setHybridCounter(message.hybridCounter);
}

Result<distribution::PeerMessage> read(schema::PeerMessage::Reader from)
{
    distribution::PeerMessage message;
    BOOST_LEAF_ASSIGN(message.from, Detail::readName<NodeName>(from.getFrom()));
    BOOST_LEAF_ASSIGN(message.sender, readSender(from.getSender()));
    if (from.hasStamp()) {
        BOOST_LEAF_ASSIGN(message.stamp, Detail::readStamp(from.getStamp()));
    }
    if (from.hasFloor()) {
        BOOST_LEAF_ASSIGN(message.versionFloor, Detail::readStamp(from.getFloor()));
    }
    message.joining = from.getJoining();
    message.membershipDigest = from.getMembershipDigest();
    if (from.hasMembershipBuckets()) {
        BOOST_LEAF_ASSIGN(message.membershipBuckets, readBuckets(from.getMembershipBuckets()));
    }
    if (from.hasMembershipSummary()) {
        BOOST_LEAF_ASSIGN(message.membershipSummary, readSummary(from.getMembershipSummary()));
    }
    auto news = readNews(from, message);
    if (!news)
        return news.error();
    BOOST_LEAF_ASSIGN(message.streamEnds, readStreamEnds(from.getStreamEnds()));
    BOOST_LEAF_ASSIGN(message.answerTimes, readAnswerTimes(from.getAnswerTimes()));
    message.hybridMilliseconds = from.getHybridMilliseconds();
    message.hybridCounter = from.getHybridCounter();
    return message;
}

}
