#pragma once

/// \file
/// Between the schema's messages and the typed ones. Reading reports \c MessageError.

#include "Peer.capnp.h"
#include "carobpath/distribution/PeerMessage.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/peer/PeerError.h"
#include "carobpath/quota/QuotaMessages.h"
#include "carobpath/routing/CrashReport.h"

namespace carobpath::peer {

/// Longest name that is taken from a peer.
inline constexpr std::size_t maxNameLength = 256;
/// Longest list that is taken from a peer.
inline constexpr std::size_t maxListLength = 16384;

void write(const distribution::PeerMessage&, schema::PeerMessage::Builder);
Result<distribution::PeerMessage> read(schema::PeerMessage::Reader);

void write(const distribution::StateSnapshot&, schema::WholeState::Builder);
Result<distribution::StateSnapshot> read(schema::WholeState::Reader);

void write(const membership::NodeRecord&, schema::NodeRecord::Builder);
Result<membership::NodeRecord> read(schema::NodeRecord::Reader);

void write(const moves::EvidenceEntry&, schema::EvidenceEntry::Builder);
Result<moves::EvidenceEntry> read(schema::EvidenceEntry::Reader);

void write(const membership::Suspicion&, schema::Suspicion::Builder);
Result<membership::Suspicion> read(schema::Suspicion::Reader);

void write(const moves::TakeBackNotice&, schema::TakeBackNotice::Builder);
Result<moves::TakeBackNotice> read(schema::TakeBackNotice::Reader);

void write(const routing::CrashUpdate&, schema::CrashUpdate::Builder);
Result<routing::CrashUpdate> read(schema::CrashUpdate::Reader);

void write(const quota::UsageReport&, schema::UsageReport::Builder);
Result<quota::UsageReport> read(schema::UsageReport::Reader);

void write(const quota::QuotaGrant&, schema::QuotaGrant::Builder);
Result<quota::QuotaGrant> read(schema::QuotaGrant::Reader);

/// The parameters and results of a report of usage.
void write(const quota::UsageMessage&, schema::Peer::ReportUsageParams::Builder);
Result<quota::UsageMessage> read(schema::Peer::ReportUsageParams::Reader);
void write(const quota::QuotaGrants&, schema::Peer::ReportUsageResults::Builder);
Result<quota::QuotaGrants> read(schema::Peer::ReportUsageResults::Reader);

void write(const distribution::Delta&, schema::Delta::Builder);
Result<distribution::Delta> read(schema::Delta::Reader);

}
