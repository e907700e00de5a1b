#pragma once

#include "carobpath/moves/MoveEngine.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::moves {

using std::chrono::milliseconds;

/// A span of time since the start of the move.
struct Span {
    milliseconds from {};
    milliseconds to {};

    bool contains(milliseconds t) const { return t >= from && t < to; }
};

/// Fakes the log and the state machine that applies its records.
class FakeLog {
public:
    std::vector<Span> outages;
    /// Delay until nodes read a record. A writer does not learn of its own record earlier, as if the answer had been lost.
    milliseconds readDelay {};
    /// Deliberate fault of the state machine: a later terminal record replaces the first.
    bool lastRecordWins = false;

    void append(const publication::MoveVerdict&, milliseconds now);
    const std::optional<publication::MoveVerdict>& verdict() const { return m_verdict; }
    std::optional<publication::MoveVerdict> verdictReadAt(milliseconds now) const
    {
        return m_verdict && now >= m_recordedAt + readDelay ? m_verdict : std::nullopt;
    }
    std::size_t records() const { return m_records; }
    milliseconds recordedAt() const { return m_recordedAt; }
    /// Number of changes of the active verdict.
    std::size_t changes() const { return m_changes; }

private:
    std::optional<publication::MoveVerdict> m_verdict;
    milliseconds m_recordedAt {};
    std::size_t m_records = 0;
    std::size_t m_changes = 0;
};

/// Engines in virtual time. The first half of the nodes host the old version, the second half the new one.
class FakeFleet {
public:
    static constexpr std::size_t s_nodes = 4;
    static constexpr milliseconds s_step { 100 };

    FakeFleet(milliseconds length, publication::ThinEvidencePolicy);

    /// Scenario of the test.
    FakeLog log;
    int callsPerStep = 4;
    /// Fraction of the new version's calls that fail at a given time.
    std::function<double(milliseconds)> newFailRate = [](milliseconds) { return 0.0; };
    std::function<double(milliseconds)> oldFailRate = [](milliseconds) { return 0.0; };
    /// Times in which a node neither gossips nor reaches the log.
    std::vector<Span> cuts[s_nodes];
    /// Times in which a node is down. It restarts with empty state in a new incarnation.
    std::vector<Span> kills[s_nodes];
    /// Times in which a node is paused. Its pending appends reach the log when it resumes.
    std::vector<Span> pauses[s_nodes];
    std::optional<milliseconds> withdrawnAt;
    std::optional<milliseconds> replacedAt;

    void play();

    /// Results, to be read after play().
    std::uint64_t newCallsAfter(milliseconds) const;
    std::uint64_t admittedNewCalls() const { return m_admitted; }
    /// Calls of the new version in the merged evidence of a node.
    std::uint64_t evidenceOfNewCalls(std::size_t node) const;
    /// Number of steps at which a node's report and its traffic differed.
    std::size_t disagreements() const { return m_disagreements; }
    const MoveEngine& engine(std::size_t node) const { return *m_nodes[node].engine; }
    milliseconds length() const { return m_length; }

    static Now at(milliseconds sinceStart);
    static publication::MoveEntry entry(milliseconds length, publication::ThinEvidencePolicy);

private:
    struct Node {
        std::unique_ptr<MoveEngine> engine;
        EvidenceCursor cursors[s_nodes];
        publication::Offset configuration = 0;
        std::vector<publication::MoveVerdict> delayedAppends;
        bool isUp = true;
    };

    static bool isIn(const std::vector<Span>&, milliseconds);
    bool isRunning(std::size_t node, milliseconds now) const;
    void start(std::size_t node);
    publication::ConfigurationPointer configurationAt(milliseconds now) const;
    void stepNode(std::size_t node, milliseconds now);
    void issueCalls(milliseconds now);
    void checkReport(std::size_t node, milliseconds now);

    milliseconds m_length;
    publication::ThinEvidencePolicy m_policy;
    std::vector<Node> m_nodes;
    std::mt19937_64 m_random { 20261203 };
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_admitted = 0;
    std::size_t m_disagreements = 0;
    std::vector<milliseconds> m_newCalls;
};

}
