#pragma once

#include "carobpath/moves/MoveEngine.h"
#include "moves/Policy.h"

#include <array>
#include <deque>
#include <memory>
#include <vector>

namespace carobpath::bench {

/// The project's policy: one engine for each node. They exchange evidence with delay and loss, and nodes are killed
/// and cut off as the scenario says.
class Fleet {
public:
    static constexpr milliseconds s_exchangeInterval { 500 };
    static constexpr std::size_t s_exchangeFanout = 2;
    static constexpr std::int64_t s_shortestDelayMillis = 20;
    static constexpr std::int64_t s_longestDelayMillis = 200;
    static constexpr double s_loss = 0.05;
    static constexpr std::int64_t s_longestConfigurationDelayMillis = 2000;

    Fleet(const Scenario&, std::mt19937_64&);

    Pick pick(std::size_t node, double random, milliseconds now) const;
    double newShare(std::size_t node, milliseconds now) const;
    bool isUp(std::size_t node, milliseconds now) const;
    void observe(std::size_t node, Pick, std::size_t route, const DrawnCall&, milliseconds now);
    void step(milliseconds now, LogModel&);
    std::uint64_t controlBytes() const { return m_controlBytes; }
    std::optional<milliseconds> foundAt() const { return m_foundAt; }
    bool isSettled(milliseconds now) const;

    /// \returns both clocks of every node at a time since the start of the move.
    static Now clocks(milliseconds sinceStart);
    /// \returns the move as it stands in the set.
    static publication::MoveEntry moveOf(const Scenario&);
    static VersionName versionOf(Pick);

private:
    struct Configuration {
        milliseconds at {};
        publication::ConfigurationPointer version;
    };
    struct Node {
        std::unique_ptr<moves::MoveEngine> engine;
        std::array<moves::EvidenceCursor, nodeCount> cursors {};
        milliseconds configurationDelay {};
        std::size_t configurations = 0;
        milliseconds nextExchange {};
        bool isUp = true;
    };
    struct Message {
        milliseconds at {};
        std::size_t to = 0;
        moves::EvidenceUpdate update;
    };

    void start(std::size_t node, milliseconds now);
    void publish(milliseconds at, bool hasEarlier, bool earlierEnded, std::optional<publication::MoveVerdict>);
    bool isCut(std::size_t node, milliseconds now) const;
    void deliver(milliseconds now);
    void exchange(std::size_t from, milliseconds now);
    void send(std::size_t from, std::size_t to, moves::EvidenceUpdate, milliseconds now);
    void tick(std::size_t node, milliseconds now, LogModel&);
    bool draw(double probability);

    const Scenario& m_scenario;
    std::mt19937_64& m_random;
    std::vector<Node> m_nodes;
    std::vector<Configuration> m_configurations;
    std::vector<Message> m_messages;
    std::optional<milliseconds> m_foundAt;
    bool m_isEndPublished = false;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_controlBytes = 0;
};

}
