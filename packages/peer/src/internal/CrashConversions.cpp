#include "ConversionParts.h"
#include "carobpath/routing/CrashQuarantine.h"

namespace carobpath::peer {

namespace {

    using Detail::malformed;
    using Detail::readName;
    using Detail::textOf;

    std::int64_t millisecondsOf(WallTime time)
    {
        return time.time_since_epoch().count();
    }

    WallTime wallTimeOf(std::int64_t milliseconds)
    {
        return WallTime { std::chrono::milliseconds { milliseconds } };
    }

    void write(const routing::CrashReport& it, schema::CrashReport::Builder to)
    {
        to.setNode(textOf(it.node));
        to.setIncarnation(it.revision.incarnation.value);
        to.setSequence(it.revision.sequence);
        to.setAtMilliseconds(millisecondsOf(it.at));
        auto suspects = to.initSuspects(static_cast<unsigned>(it.suspects.size()));
        for (unsigned i = 0; i < suspects.size(); ++i)
            suspects.set(i, it.suspects[i]);
    }

    void write(const routing::CrashClearance& it, schema::CrashAcquittal::Builder to)
    {
        to.setNode(textOf(it.node));
        to.setFingerprint(it.fingerprint);
        to.setAtMilliseconds(millisecondsOf(it.at));
    }

    Result<routing::CrashReport> readReport(schema::CrashReport::Reader from)
    {
        routing::CrashReport report;
        BOOST_LEAF_ASSIGN(report.node, readName<NodeName>(from.getNode()));
        report.revision = Revision { Incarnation { from.getIncarnation() }, from.getSequence() };
        report.at = wallTimeOf(from.getAtMilliseconds());
        if (from.getSuspects().size() > routing::CrashQuarantine::s_maxSuspects)
            return malformed(MessageFault::TooManyEntries);
        for (const auto suspect : from.getSuspects())
            report.suspects.push_back(suspect);
        return report;
    }

    Result<routing::CrashClearance> readAcquittal(schema::CrashAcquittal::Reader from)
    {
        routing::CrashClearance acquittal;
        BOOST_LEAF_ASSIGN(acquittal.node, readName<NodeName>(from.getNode()));
        acquittal.fingerprint = from.getFingerprint();
        acquittal.at = wallTimeOf(from.getAtMilliseconds());
        return acquittal;
    }

}

void write(const routing::CrashUpdate& it, schema::CrashUpdate::Builder to)
{
    auto reports = to.initReports(static_cast<unsigned>(it.reports.size()));
    for (unsigned i = 0; i < reports.size(); ++i)
        write(it.reports[i], reports[i]);
    auto acquittals = to.initAcquittals(static_cast<unsigned>(it.clearances.size()));
    for (unsigned i = 0; i < acquittals.size(); ++i)
        write(it.clearances[i], acquittals[i]);
}

Result<routing::CrashUpdate> read(schema::CrashUpdate::Reader from)
{
    if (from.getReports().size() > maxListLength || from.getAcquittals().size() > maxListLength)
        return malformed(MessageFault::TooManyEntries);
    routing::CrashUpdate update;
    for (const auto it : from.getReports()) {
        BOOST_LEAF_AUTO(report, readReport(it));
        update.reports.push_back(std::move(report));
    }
    for (const auto it : from.getAcquittals()) {
        BOOST_LEAF_AUTO(acquittal, readAcquittal(it));
        update.clearances.push_back(std::move(acquittal));
    }
    return update;
}

}
