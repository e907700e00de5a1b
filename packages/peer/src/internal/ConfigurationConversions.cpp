#include "ConversionParts.h"
#include "carobpath/publication/Codec.h"

#include <algorithm>

namespace carobpath::peer {

namespace {

    using Detail::malformed;
    using Detail::textOf;

    using TextList = capnp::List<capnp::Text>;

    template <typename Entries>
    void writeEntries(const Entries& entries, TextList::Builder list)
    {
        unsigned index = 0;
        for (const auto& it : entries)
            list.set(index++, textOf(publication::encode(it)));
    }

    template <typename Entry>
    Result<std::vector<Entry>> readEntries(TextList::Reader list)
    {
        if (list.size() > maxListLength)
            return malformed(MessageFault::TooManyEntries);
        std::vector<Entry> entries;
        entries.reserve(list.size());
        for (const auto text : list) {
            const auto entry = publication::decode<Entry>(std::string_view(text.begin(), text.size()));
            if (!entry)
                return malformed(MessageFault::BadEntry);
            entries.push_back(entry.value());
        }
        return entries;
    }

    template <typename Names>
    void writeNames(const Names& names, TextList::Builder list)
    {
        unsigned index = 0;
        for (const auto& it : names)
            list.set(index++, textOf(it));
    }

    template <typename Name>
    Result<std::vector<Name>> readNames(TextList::Reader list)
    {
        if (list.size() > maxListLength)
            return malformed(MessageFault::TooManyEntries);
        std::vector<Name> names;
        names.reserve(list.size());
        for (const auto text : list) {
            BOOST_LEAF_AUTO(name, Detail::readName<Name>(text));
            names.push_back(std::move(name));
        }
        return names;
    }

    void writeSpan(const publication::RecordSpan& span, schema::RecordSpan::Builder to)
    {
        to.setEra(span.era.number);
        to.setSince(span.since);
        to.setEnd(span.end);
    }

    publication::RecordSpan readSpan(schema::RecordSpan::Reader from)
    {
        return { publication::StoreEra { from.getEra() }, from.getSince(), from.getEnd() };
    }

    template <typename Items>
    unsigned sizeOf(const Items& items)
    {
        return static_cast<unsigned>(items.size());
    }

}

void Detail::writeStamp(const publication::ConfigurationStamp& stamp, schema::Stamp::Builder to)
{
    to.setOffset(stamp.offset);
    to.setDigest(capnp::Data::Reader(stamp.digest.bytes.data(), stamp.digest.bytes.size()));
}

Result<publication::ConfigurationStamp> Detail::readStamp(schema::Stamp::Reader from)
{
    publication::ConfigurationStamp stamp;
    stamp.offset = from.getOffset();
    const auto digest = from.getDigest();
    if (digest.size() != stamp.digest.bytes.size())
        return malformed(MessageFault::BadDigest);
    std::copy(digest.begin(), digest.end(), stamp.digest.bytes.begin());
    return stamp;
}

void write(const distribution::Delta& it, schema::Delta::Builder to)
{
    Detail::writeStamp(it.base, to.initBase());
    Detail::writeStamp(it.result, to.initResult());
    writeEntries(it.services, to.initServices(sizeOf(it.services)));
    writeEntries(it.routes, to.initRoutes(sizeOf(it.routes)));
    writeEntries(it.versions, to.initVersions(sizeOf(it.versions)));
    writeEntries(it.moves, to.initMoves(sizeOf(it.moves)));
    if (!it.workspaces.empty())
        writeEntries(it.workspaces, to.initWorkspaces(sizeOf(it.workspaces)));
    writeNames(it.removedServices, to.initRemovedServices(sizeOf(it.removedServices)));
    writeNames(it.removedRoutes, to.initRemovedRoutes(sizeOf(it.removedRoutes)));
    writeNames(it.removedVersions, to.initRemovedVersions(sizeOf(it.removedVersions)));
    writeNames(it.removedMoves, to.initRemovedMoves(sizeOf(it.removedMoves)));
    if (!it.removedWorkspaces.empty())
        writeNames(it.removedWorkspaces, to.initRemovedWorkspaces(sizeOf(it.removedWorkspaces)));
    if (it.span)
        writeSpan(*it.span, to.initSpan());
}

Result<distribution::Delta> read(schema::Delta::Reader from)
{
    distribution::Delta delta;
    BOOST_LEAF_ASSIGN(delta.base, Detail::readStamp(from.getBase()));
    BOOST_LEAF_ASSIGN(delta.result, Detail::readStamp(from.getResult()));
    BOOST_LEAF_ASSIGN(delta.services, readEntries<publication::ServiceEntry>(from.getServices()));
    BOOST_LEAF_ASSIGN(delta.routes, readEntries<publication::RouteEntry>(from.getRoutes()));
    BOOST_LEAF_ASSIGN(delta.versions, readEntries<publication::VersionEntry>(from.getVersions()));
    BOOST_LEAF_ASSIGN(delta.moves, readEntries<publication::MoveEntry>(from.getMoves()));
    BOOST_LEAF_ASSIGN(delta.workspaces, readEntries<publication::WorkspaceEntry>(from.getWorkspaces()));
    BOOST_LEAF_ASSIGN(delta.removedServices, readNames<ServiceName>(from.getRemovedServices()));
    BOOST_LEAF_ASSIGN(delta.removedRoutes, readNames<RouteName>(from.getRemovedRoutes()));
    BOOST_LEAF_ASSIGN(delta.removedVersions, readNames<VersionName>(from.getRemovedVersions()));
    BOOST_LEAF_ASSIGN(delta.removedMoves, readNames<MoveName>(from.getRemovedMoves()));
    BOOST_LEAF_ASSIGN(delta.removedWorkspaces, readNames<WorkspaceName>(from.getRemovedWorkspaces()));
    if (from.hasSpan())
        delta.span = readSpan(from.getSpan());
    return delta;
}

void write(const distribution::StateSnapshot& state, schema::WholeState::Builder to)
{
    to.setServed(true);
    if (state.configuration) {
        Detail::writeStamp(state.configuration->stamp, to.initStamp());
        to.setSet(textOf(publication::encode(state.configuration->set)));
    }
    Detail::writeAll(state.records, to.initRecords(sizeOf(state.records)));
    Detail::writeAll(state.evidence.entries, to.initEvidence(sizeOf(state.evidence.entries)));
    Detail::writeAll(state.evidence.notices, to.initNotices(sizeOf(state.evidence.notices)));
}

Result<distribution::StateSnapshot> read(schema::WholeState::Reader from)
{
    distribution::StateSnapshot state;
    if (from.hasStamp()) {
        auto version = std::make_shared<publication::ConfigurationVersion>();
        BOOST_LEAF_ASSIGN(version->stamp, Detail::readStamp(from.getStamp()));
        const auto set = publication::decode<publication::ConfigurationSet>(std::string_view(from.getSet().begin(), from.getSet().size()));
        if (!set)
            return malformed(MessageFault::BadEntry);
        version->set = set.value();
        state.configuration = std::move(version);
    }
    BOOST_LEAF_ASSIGN(state.records, Detail::readAll<membership::NodeRecord>(from.getRecords()));
    BOOST_LEAF_ASSIGN(state.evidence.entries, Detail::readAll<moves::EvidenceEntry>(from.getEvidence()));
    BOOST_LEAF_ASSIGN(state.evidence.notices, Detail::readAll<moves::TakeBackNotice>(from.getNotices()));
    return state;
}

}
