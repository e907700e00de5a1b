#include "ConversionParts.h"

#include <boost/asio/ip/address.hpp>

#include <cmath>

namespace carobpath::peer {

namespace {

    using Detail::malformed;
    using Detail::readName;
    using Detail::textOf;

    constexpr auto lastUpstreamState = static_cast<std::uint8_t>(membership::UpstreamState::Down);

    void writeUpstream(const membership::Upstream& it, schema::Upstream::Builder to)
    {
        to.setService(textOf(it.service));
        to.setVersion(textOf(it.version));
        to.setSlots(it.slots);
        to.setConnections(it.connections);
        to.setState(static_cast<std::uint8_t>(it.state));
        to.setInFlight(it.inFlight);
        to.setWaiting(it.waiting);
        if (it.callsPerSecond)
            to.setCallsPerSecond(*it.callsPerSecond);
    }

    Result<membership::Upstream> readUpstream(schema::Upstream::Reader from)
    {
        if (from.getState() > lastUpstreamState)
            return malformed(MessageFault::BadEnum);
        membership::Upstream upstream;
        BOOST_LEAF_ASSIGN(upstream.service, readName<ServiceName>(from.getService()));
        BOOST_LEAF_ASSIGN(upstream.version, readName<VersionName>(from.getVersion()));
        upstream.slots = from.getSlots();
        upstream.connections = from.getConnections();
        upstream.state = static_cast<membership::UpstreamState>(from.getState());
        upstream.inFlight = from.getInFlight();
        upstream.waiting = from.getWaiting();
        if (std::isfinite(from.getCallsPerSecond()) && from.getCallsPerSecond() >= 0)
            upstream.callsPerSecond = from.getCallsPerSecond();
        return upstream;
    }

    Result<std::string> readAddress(capnp::Text::Reader text)
    {
        std::string address(text.begin(), text.size());
        boost::system::error_code ec;
        boost::asio::ip::make_address(address, ec);
        if (ec)
            return malformed(MessageFault::BadEndpoint);
        return address;
    }

    /// Reads an address that stands only where it differs from the peer address.
    Result<Endpoint> readOwnEndpoint(capnp::Text::Reader text, std::uint16_t port, const std::string& shared)
    {
        if (text.size() == 0)
            return Endpoint { shared, port };
        BOOST_LEAF_AUTO(address, readAddress(text));
        return Endpoint { std::move(address), port };
    }

    Result<membership::NodeAddresses> readAddresses(schema::NodeRecord::Reader from)
    {
        membership::NodeAddresses addresses;
        BOOST_LEAF_AUTO(shared, readAddress(from.getAddress()));
        BOOST_LEAF_ASSIGN(addresses.callers, readOwnEndpoint(from.getCallersAddress(), from.getCallersPort(), shared));
        BOOST_LEAF_ASSIGN(addresses.calls, readOwnEndpoint(from.getCallsAddress(), from.getCallsPort(), shared));
        BOOST_LEAF_ASSIGN(addresses.admin, readOwnEndpoint(from.getAdminAddress(), from.getAdminPort(), shared));
        addresses.peer = Endpoint { std::move(shared), from.getPeerPort() };
        return addresses;
    }

    void writeAddresses(const membership::NodeAddresses& it, schema::NodeRecord::Builder to)
    {
        const std::string& shared = it.peer.address;
        to.setAddress(textOf(shared));
        to.setPeerPort(it.peer.port);
        to.setCallersPort(it.callers.port);
        to.setCallsPort(it.calls.port);
        to.setAdminPort(it.admin.port);
        if (it.callers.address != shared)
            to.setCallersAddress(textOf(it.callers.address));
        if (it.calls.address != shared)
            to.setCallsAddress(textOf(it.calls.address));
        if (it.admin.address != shared)
            to.setAdminAddress(textOf(it.admin.address));
    }

}

void write(const membership::NodeRecord& record, schema::NodeRecord::Builder to)
{
    const membership::NodeEntry& entry = record.entry;
    to.setName(textOf(entry.name));
    to.setRegion(textOf(entry.region));
    to.setDomain(textOf(entry.domain));
    to.setIncarnation(entry.revision.incarnation.value);
    to.setSequence(entry.revision.sequence);
    writeAddresses(entry.addresses, to);
    if (entry.upstream)
        writeUpstream(*entry.upstream, to.initUpstream());
    to.setLeaving(entry.leaving);
    to.setDead(record.dead);
}

Result<membership::NodeRecord> read(schema::NodeRecord::Reader from)
{
    membership::NodeRecord record;
    membership::NodeEntry& entry = record.entry;
    BOOST_LEAF_ASSIGN(entry.name, readName<NodeName>(from.getName()));
    BOOST_LEAF_ASSIGN(entry.region, Detail::readOptionalName<RegionName>(from.getRegion()));
    BOOST_LEAF_ASSIGN(entry.domain, Detail::readOptionalName<FailureDomainName>(from.getDomain()));
    entry.revision = Revision { Incarnation { from.getIncarnation() }, from.getSequence() };
    BOOST_LEAF_ASSIGN(entry.addresses, readAddresses(from));
    if (from.hasUpstream()) {
        BOOST_LEAF_ASSIGN(entry.upstream, readUpstream(from.getUpstream()));
    }
    entry.leaving = from.getLeaving();
    record.dead = from.getDead();
    return record;
}

void write(const membership::Suspicion& it, schema::Suspicion::Builder to)
{
    to.setSubject(textOf(it.subject));
    to.setIncarnation(it.revision.incarnation.value);
    to.setSequence(it.revision.sequence);
    to.setObserver(textOf(it.observer));
}

Result<membership::Suspicion> read(schema::Suspicion::Reader from)
{
    membership::Suspicion suspicion;
    BOOST_LEAF_ASSIGN(suspicion.subject, readName<NodeName>(from.getSubject()));
    BOOST_LEAF_ASSIGN(suspicion.observer, readName<NodeName>(from.getObserver()));
    suspicion.revision = Revision { Incarnation { from.getIncarnation() }, from.getSequence() };
    return suspicion;
}

}
