#include "ConversionParts.h"
#include "carobpath/publication/Codec.h"

#include <algorithm>

namespace carobpath::peer {

namespace {

    using Detail::malformed;
    using Detail::readName;
    using Detail::textOf;

    void writeCounts(const moves::EvidenceCounts& counts, schema::EvidenceEntry::Builder to)
    {
        to.setSucceeded(counts.succeeded);
        to.setFailed(counts.failed);
        to.setRefused(counts.refused);
        const auto isUsed = [](std::uint64_t it) { return it != 0; };
        const auto first = std::find_if(counts.latency.begin(), counts.latency.end(), isUsed);
        const auto last = std::find_if(counts.latency.rbegin(), counts.latency.rend(), isUsed).base();
        if (first == counts.latency.end())
            return;
        to.setFirstLatencyClass(static_cast<std::uint8_t>(first - counts.latency.begin()));
        auto list = to.initLatency(static_cast<unsigned>(last - first));
        for (unsigned i = 0; i < list.size(); ++i)
            list.set(i, first[i]);
    }

    Result<moves::EvidenceCounts> readCounts(schema::EvidenceEntry::Reader from)
    {
        moves::EvidenceCounts counts;
        counts.succeeded = from.getSucceeded();
        counts.failed = from.getFailed();
        counts.refused = from.getRefused();
        const std::size_t first = from.getFirstLatencyClass();
        const auto list = from.getLatency();
        if (first + list.size() > counts.latency.size())
            return malformed(MessageFault::BadLatency);
        for (unsigned i = 0; i < list.size(); ++i)
            counts.latency[first + i] = list[i];
        return counts;
    }

}

void write(const moves::EvidenceEntry& it, schema::EvidenceEntry::Builder to)
{
    to.setObserver(textOf(it.observer));
    to.setIncarnation(it.revision.incarnation.value);
    to.setSequence(it.revision.sequence);
    to.setMove(textOf(it.move));
    to.setMovePublishedAt(it.movePublishedAt);
    to.setRoute(textOf(it.route));
    to.setVersion(textOf(it.version));
    to.setWindow(it.window);
    writeCounts(it.counts, to);
}

Result<moves::EvidenceEntry> read(schema::EvidenceEntry::Reader from)
{
    moves::EvidenceEntry entry;
    BOOST_LEAF_ASSIGN(entry.observer, readName<NodeName>(from.getObserver()));
    entry.revision = Revision { Incarnation { from.getIncarnation() }, from.getSequence() };
    BOOST_LEAF_ASSIGN(entry.move, readName<MoveName>(from.getMove()));
    entry.movePublishedAt = from.getMovePublishedAt();
    BOOST_LEAF_ASSIGN(entry.route, readName<RouteName>(from.getRoute()));
    BOOST_LEAF_ASSIGN(entry.version, readName<VersionName>(from.getVersion()));
    entry.window = from.getWindow();
    BOOST_LEAF_ASSIGN(entry.counts, readCounts(from));
    return entry;
}

void write(const moves::TakeBackNotice& it, schema::TakeBackNotice::Builder to)
{
    to.setMove(textOf(it.move));
    to.setMovePublishedAt(it.movePublishedAt);
    to.setObserver(textOf(it.observer));
    to.setVerdict(textOf(publication::encode(it.verdict)));
}

Result<moves::TakeBackNotice> read(schema::TakeBackNotice::Reader from)
{
    moves::TakeBackNotice notice;
    BOOST_LEAF_ASSIGN(notice.move, readName<MoveName>(from.getMove()));
    notice.movePublishedAt = from.getMovePublishedAt();
    BOOST_LEAF_ASSIGN(notice.observer, readName<NodeName>(from.getObserver()));
    const auto verdict = publication::decode<publication::MoveVerdict>(std::string_view(from.getVerdict().begin(), from.getVerdict().size()));
    if (!verdict)
        return malformed(MessageFault::BadEntry);
    notice.verdict = verdict.value();
    return notice;
}

}
