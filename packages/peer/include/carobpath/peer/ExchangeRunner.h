#pragma once

#include "carobpath/distribution/GossipEngine.h"
#include "carobpath/peer/PeerClient.h"
#include "carobpath/peer/PeerServer.h"
#include "carobpath/routing/CrashReport.h"

#include <chrono>
#include <memory>
#include <optional>

namespace carobpath::peer {

/// A reading of the hybrid logical clock.
struct HybridTime {
    std::uint64_t milliseconds = 0;
    std::uint32_t counter = 0;
};

/// A fetch of the whole state from a peer that has ended.
struct EndedFetch {
    Endpoint peer;
    /// The state came; it may hold no newer configuration.
    bool succeeded = false;
    /// Time since the request was sent.
    std::chrono::milliseconds took {};
};

/// What a runner reports. Each may be left empty; all are called on the context's thread.
struct RunnerCallbacks {
    /// A version is in force from now on; never older than one reported before. Not called below the node's floor.
    std::function<void(publication::ConfigurationPointer)> onConfiguration;
    /// The membership changed.
    std::function<void(std::shared_ptr<const membership::MembershipView>)> onView;
    /// This node is to read the log from now on, or no longer.
    std::function<void(bool)> onReaderRole;
    /// Whether this node may serve callers.
    std::function<void(bool)> onReady;
    /// A peer knows that a stream of the log reaches further than this node has read.
    std::function<void(const distribution::StreamEnd&)> onStreamAdvanced;
    /// A peer has forwarded what these records of the log, all configurations, changed; it will be in force soon.
    std::function<void(const publication::RecordSpan&)> onRecordsForwarded;
    /// What these records changed is adopted, so that they need not be read.
    std::function<void(const publication::RecordSpan&)> onRecordsAdopted;
    /// A fetch of a peer's state has ended, well or not.
    std::function<void(const EndedFetch&)> onFetchEnded;
    /// Another node forwards a claim of an idempotency key; the reply may be given later.
    std::function<void(const ClaimRequest&, ClaimReply)> onClaim;
    /// A call whose claim was forwarded here has ended.
    std::function<void(const EndRequest&)> onEndClaim;
    /// Another node tells of crashed backend servers.
    std::function<void(const routing::CrashUpdate&)> onCrashes;
    /// Another node reports calls of workspaces whose quota this node may own.
    std::function<void(const quota::UsageMessage&, UsageReply)> onUsage;
    /// A peer sent a message that breaks the protocol.
    std::function<void(MessageError)> onMalformed;
    /// How long calls took in this node's failure domain, for a message that is sent.
    std::function<std::vector<membership::AnswerTime>()> answerTimes;
    /// Another node told the same of its failure domain.
    std::function<void(const NodeName&, const std::vector<membership::AnswerTime>&)> onAnswerTimes;
    /// Reads the hybrid clock for a message that is sent.
    std::function<HybridTime()> hybridNow;
    /// A message came with this reading.
    std::function<void(HybridTime)> onHybridTime;
};

/// Carries the commands of \c distribution::GossipEngine over connections and timers.
///
/// Wiring in a daemon:
/// - make it with \c Builder once the other listeners are bound, so that the entry holds their ports;
/// - \c start it;
/// - read the log while \c onReaderRole says so: call \c publishConfiguration with each folded version that is newer,
///   and \c reportLogEnd whenever the log was read to its end;
/// - call \c setUpstream on each announcement, \c reportCall on the end of each call to another node,
///   \c notifyEvidence when a notice of a move was made, and \c leave when the process is asked to stop, a while before
///   \c stop.
class ExchangeRunner : public std::enable_shared_from_this<ExchangeRunner> {
public:
    class Builder;

    ~ExchangeRunner();
    ExchangeRunner(const ExchangeRunner&) = delete;
    ExchangeRunner& operator=(const ExchangeRunner&) = delete;

    void start();
    /// Closes every connection and calls nothing any more.
    void stop();

    /// \returns where it listens for peers.
    Endpoint endpoint() const;

    /// This node folded a version from the log.
    /// \param span the records that led to it, if they are all configurations.
    void publishConfiguration(publication::ConfigurationPointer, const std::optional<publication::RecordSpan>& span = std::nullopt);
    /// This node has read the log to its end.
    void reportLogEnd();
    /// A stream reaches this end, as far as this node knows from the log.
    void reportStreamEnd(const distribution::StreamEnd&);
    /// Nodes to join by that were found after the start.
    void introduce(const std::vector<Endpoint>& found);
    void setUpstream(std::optional<membership::Upstream>);
    /// A call to another node ended; \c ok says that the node answered, whatever the answer was.
    void reportCall(const NodeName&, bool ok);
    /// The store of evidence has news that must not wait for the next second.
    void notifyEvidence();
    /// Says that this node is leaving.
    void leave();

    /// Calls of the ledger to other nodes.
    PeerClient& client();
    bool ready() const;
    /// \returns when a message of another node last came.
    MonotonicTime heardAt() const;
    const distribution::GossipEngine& exchange() const;

private:
    struct Impl;

    explicit ExchangeRunner(std::unique_ptr<Impl>);

    std::unique_ptr<Impl> m_impl;
};

/// Builds a runner. \c self and \c listen are needed.
class ExchangeRunner::Builder {
public:
    /// \param runtime there is one for each thread; made by the thread that runs its context.
    explicit Builder(std::shared_ptr<PeerRuntime> runtime);
    ~Builder();

    /// The node's entry; its revision names this life of the process, and its peer address is set by \c build.
    Builder& self(membership::NodeEntry);
    /// Where to listen for peers; port 0 takes a free port.
    Builder& listen(Endpoint);
    Builder& seeds(std::vector<Endpoint>);
    Builder& random(std::mt19937_64);
    Builder& evidence(distribution::EvidencePort);
    Builder& callbacks(RunnerCallbacks);
    /// See \c distribution::GossipEngine::setEachNodeReads.
    Builder& eachNodeReads(bool);

    /// Binds the listener. Throws boost::system::system_error where that fails.
    std::shared_ptr<ExchangeRunner> build();

private:
    friend struct ExchangeRunner::Impl;
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

}
