@0xd3b1f0a74c2e9a61;

# Messages between nodes. Names, texts and numbers are checked by the receiver.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("carobpath::peer::schema");

struct Endpoint {
  address @0 :Text;
  port @1 :UInt16;
}

struct Stamp {
  offset @0 :UInt64;
  digest @1 :Data;
}

struct Revision {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
}

struct Upstream {
  service @0 :Text;
  version @1 :Text;
  slots @2 :UInt32;
  connections @3 :UInt32;
  state @4 :UInt8;
  inFlight @5 :UInt32;
  waiting @6 :UInt32;
  # Negative where the backend server names no limit.
  callsPerSecond @7 :Float64 = -1;
}

struct NodeRecord {
  name @0 :Text;
  region @1 :Text;
  domain @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  # One text for all ports that listen on the same address; the others are given in full.
  address @5 :Text;
  callersPort @6 :UInt16;
  callsPort @7 :UInt16;
  peerPort @8 :UInt16;
  adminPort @9 :UInt16;
  callersAddress @10 :Text;
  callsAddress @11 :Text;
  adminAddress @12 :Text;
  upstream @13 :Upstream;
  leaving @14 :Bool;
  dead @15 :Bool;
}

struct Suspicion {
  subject @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  observer @3 :Text;
}

struct RecordSummary {
  buckets @0 :UInt64;
  hashes @1 :List(UInt64);
  answerWanted @2 :Bool;
}

struct EvidenceEntry {
  observer @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  move @3 :Text;
  movePublishedAt @4 :UInt64;
  route @5 :Text;
  version @6 :Text;
  window @7 :UInt32;
  succeeded @8 :UInt64;
  failed @9 :UInt64;
  refused @10 :UInt64;
  # Counts from the class of firstLatencyClass on; classes left out at both ends are 0.
  firstLatencyClass @11 :UInt8;
  latency @12 :List(UInt64);
}

struct TakeBackNotice {
  move @0 :Text;
  movePublishedAt @1 :UInt64;
  observer @2 :Text;
  # Canonical encoding of the verdict.
  verdict @3 :Text;
}

struct Delta {
  base @0 :Stamp;
  result @1 :Stamp;
  # Canonical encodings of the entries.
  services @2 :List(Text);
  routes @3 :List(Text);
  versions @4 :List(Text);
  moves @5 :List(Text);
  removedServices @6 :List(Text);
  removedRoutes @7 :List(Text);
  removedVersions @8 :List(Text);
  removedMoves @9 :List(Text);
  workspaces @10 :List(Text);
  removedWorkspaces @11 :List(Text);
  # Absent where the records that led to the result are not all configurations.
  span @12 :RecordSpan;
}

struct RecordSpan {
  era @0 :UInt64;
  since @1 :UInt64;
  end @2 :UInt64;
}

struct StreamEnd {
  stream @0 :Text;
  end @1 :UInt64;
  # Returns of the store from a copy, before the end was reached.
  era @2 :UInt64;
}

struct PeerMessage {
  from @0 :Text;
  sender @1 :Endpoint;
  stamp @2 :Stamp;
  floor @3 :Stamp;
  joining @4 :Bool;
  membershipDigest @5 :UInt64;
  membershipBuckets @6 :List(UInt64);
  records @7 :List(NodeRecord);
  suspicions @8 :List(Suspicion);
  evidence @9 :List(EvidenceEntry);
  notices @10 :List(TakeBackNotice);
  delta @11 :Delta;
  hybridMilliseconds @12 :UInt64;
  hybridCounter @13 :UInt32;
  membershipSummary @14 :RecordSummary;
  streamEnds @15 :List(StreamEnd);
  answerTimes @16 :List(AnswerTime);
}

# How long calls of a service took in the sender's failure domain.
struct AnswerTime {
  service @0 :Text;
  milliseconds @1 :UInt32;
}

struct WholeState {
  # False where the node serves too many others.
  served @0 :Bool;
  stamp @1 :Stamp;
  # Canonical encoding of the set; empty where the node has none.
  set @2 :Text;
  records @3 :List(NodeRecord);
  evidence @4 :List(EvidenceEntry);
  notices @5 :List(TakeBackNotice);
}

struct CrashReport {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  atMilliseconds @3 :Int64;
  suspects @4 :List(UInt64);
}

struct CrashAcquittal {
  node @0 :Text;
  fingerprint @1 :UInt64;
  atMilliseconds @2 :Int64;
}

struct CrashUpdate {
  reports @0 :List(CrashReport);
  acquittals @1 :List(CrashAcquittal);
}

struct UsageReport {
  workspace @0 :Text;
  arrived @1 :UInt32;
  charge @2 :Int32;
  hasLevel @3 :Bool;
  levelTokens @4 :Int32;
  levelAgeMilliseconds @5 :UInt32;
}

struct QuotaGrant {
  workspace @0 :Text;
  metered @1 :Bool;
  calls @2 :UInt32;
  retryAfterMilliseconds @3 :UInt32;
  tokens @4 :Int32;
}

interface Peer {
  # Compares what two nodes hold.
  exchange @0 (message :PeerMessage) -> (reply :PeerMessage);
  # Delivers news that need no answer.
  deliver @1 (message :PeerMessage);
  # Gives all that the node holds.
  fetchWhole @2 (withoutConfiguration :Bool) -> (state :WholeState);
  # Claims an idempotency key at the owner of its partition.
  claim @3 (key :Text, route :Text, requestId :Text, timeoutMilliseconds :UInt32) -> (verdict :UInt8, retryAfterMilliseconds :UInt32);
  # A call that had claimed a key has ended.
  endClaim @4 (key :Text, route :Text, requestId :Text, outcome :UInt8) -> ();
  # Tells of crashed backend servers and of the requests that are suspected.
  reportCrashes @5 (update :CrashUpdate) -> ();
  # Reports calls of limited workspaces to the owner of their quotas. Workspaces that the node does not own have no grant.
  # The deputy relays reports that came to it while the owner is within its reach.
  reportUsage @6 (node :Text, reports :List(UsageReport), relayed :Bool) -> (grants :List(QuotaGrant));
}
