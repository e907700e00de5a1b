#include "ConversionParts.h"

namespace carobpath::peer {

namespace {

    using Detail::readName;
    using Detail::textOf;

}

void write(const quota::UsageReport& it, schema::UsageReport::Builder to)
{
    to.setWorkspace(textOf(it.workspace));
    to.setArrived(it.arrived);
    to.setCharge(it.charge);
    to.setHasLevel(it.level.has_value());
    if (!it.level)
        return;
    to.setLevelTokens(it.level->tokens);
    to.setLevelAgeMilliseconds(static_cast<std::uint32_t>(it.level->age.count()));
}

Result<quota::UsageReport> read(schema::UsageReport::Reader from)
{
    quota::UsageReport report;
    BOOST_LEAF_ASSIGN(report.workspace, readName<WorkspaceName>(from.getWorkspace()));
    report.arrived = from.getArrived();
    report.charge = from.getCharge();
    if (from.getHasLevel())
        report.level = quota::BucketLevel { from.getLevelTokens(), std::chrono::milliseconds { from.getLevelAgeMilliseconds() } };
    return report;
}

void write(const quota::QuotaGrant& it, schema::QuotaGrant::Builder to)
{
    to.setWorkspace(textOf(it.workspace));
    to.setMetered(it.mode == quota::QuotaMode::Metered);
    to.setCalls(it.calls);
    to.setRetryAfterMilliseconds(static_cast<std::uint32_t>(it.retryAfter.count()));
    to.setTokens(it.tokens);
}

Result<quota::QuotaGrant> read(schema::QuotaGrant::Reader from)
{
    quota::QuotaGrant grant;
    BOOST_LEAF_ASSIGN(grant.workspace, readName<WorkspaceName>(from.getWorkspace()));
    grant.mode = from.getMetered() ? quota::QuotaMode::Metered : quota::QuotaMode::Open;
    grant.calls = from.getCalls();
    grant.retryAfter = std::chrono::milliseconds { from.getRetryAfterMilliseconds() };
    grant.tokens = from.getTokens();
    return grant;
}

void write(const quota::UsageMessage& it, schema::Peer::ReportUsageParams::Builder to)
{
    to.setNode(textOf(it.node));
    to.setRelayed(it.isRelayed);
    Detail::writeAll(it.reports, to.initReports(static_cast<unsigned>(it.reports.size())));
}

Result<quota::UsageMessage> read(schema::Peer::ReportUsageParams::Reader from)
{
    quota::UsageMessage message;
    BOOST_LEAF_ASSIGN(message.node, readName<NodeName>(from.getNode()));
    BOOST_LEAF_ASSIGN(message.reports, Detail::readAll<quota::UsageReport>(from.getReports()));
    message.isRelayed = from.getRelayed();
    return message;
}

void write(const quota::QuotaGrants& it, schema::Peer::ReportUsageResults::Builder to)
{
    Detail::writeAll(it, to.initGrants(static_cast<unsigned>(it.size())));
}

Result<quota::QuotaGrants> read(schema::Peer::ReportUsageResults::Reader from)
{
    return Detail::readAll<quota::QuotaGrant>(from.getGrants());
}

}
