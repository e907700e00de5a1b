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

/// Stands for the log and the fold of its records.
class FakeLog {
public:
    std::vector<Span> outages;
    /// Time until nodes read a record. A writer learns of its own in no other way, as where its answer was lost.
    milliseconds readDelay {};
    /// The deliberately broken fold: a later terminal record replaces the first.
    bool isLastWins = false;

    void append(const publication::MoveVerdict&, milliseconds now);
    const std::optional<publication::MoveVerdict>& verdict() const { return m_verdict; }
    std::optional<publication::MoveVerdict> verdictReadAt(milliseconds now) const
    {
        return m_verdict && now >= m_recordedAt + readDelay ? m_verdict : std::nullopt;
    }
    std::size_t records() const { return m_records; }
    milliseconds recordedAt() const { return m_recordedAt; }
    /// How often the verdict in force changed.
    std::size_t changes() const { return m_changes; }

private:
    std::optional<publication::MoveVerdict> m_verdict;
    milliseconds m_recordedAt {};
    std::size_t m_records = 0;
    std::size_t m_changes = 0;
};

/// A few engines with virtual time: the first half beside the old version, the second beside the new one.
class FakeFleet {
public:
    static constexpr std::size_t s_nodes = 4;
    static constexpr milliseconds s_step { 100 };

    FakeFleet(milliseconds length, publication::ThinEvidencePolicy);

    /// What the scenario of a test sets.
    FakeLog log;
    int callsPerStep = 4;
    /// Part of the new version's calls that fail at a time.
    std::function<double(milliseconds)> newFailRate = [](milliseconds) { return 0.0; };
    std::function<double(milliseconds)> oldFailRate = [](milliseconds) { return 0.0; };
    /// Nodes that exchange nothing with the others, nor reach the log.
    std::vector<Span> cuts[s_nodes];
    /// Nodes that are down, and come back empty in a new incarnation.
    std::vector<Span> kills[s_nodes];
    /// Nodes that do nothing at all; their appends of before land when they go on.
    std::vector<Span> pauses[s_nodes];
    std::optional<milliseconds> withdrawnAt;
    std::optional<milliseconds> replacedAt;

    void play();

    /// What a test asks after play().
    std::uint64_t newCallsAfter(milliseconds) const;
    std::uint64_t admittedNewCalls() const { return m_admitted; }
    /// Calls of the new version in the merged evidence of a node.
    std::uint64_t evidenceOfNewCalls(std::size_t node) const;
    /// Moments at which a node's report and its traffic differed.
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
        std::vector<publication::MoveVerdict> heldAppends;
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
