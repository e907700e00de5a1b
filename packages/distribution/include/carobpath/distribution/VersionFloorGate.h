#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <optional>
#include <set>
#include <vector>

namespace carobpath::distribution {

/// Decides whether this node may serve: it must know the floor of its address, and have reached it.
///
/// The floor is known once the log was read to its end, or once the node's witnesses were asked. Some stand in its own
/// failure domain, since what the node held before it ended was held there too, whatever is cut off; some stand
/// elsewhere, since a failure domain can end as a whole.
class VersionFloorGate {
public:
    /// Witnesses of each kind that are told of each version that this node takes.
    static constexpr std::size_t s_told = 2;
    /// Witnesses of each kind that are asked in turn until one answers.
    static constexpr std::size_t s_asked = 4;
    /// Answers needed in all, where so many witnesses can be reached.
    static constexpr std::size_t s_answersNeeded = 2;

    /// Takes what a peer said of this address.
    void onHeard(const NodeName& peer, const std::optional<publication::ConfigurationStamp>& floor);
    /// A peer that was asked did not answer.
    void onFailed(const NodeName& peer);
    /// The log was read to its end: nothing newer was ever held anywhere.
    void onLogEnd() { m_confirmed = true; }
    /// Settles whether the floor is known.
    /// \param own witnesses in the node's failure domain, also those held dead.
    /// \param others witnesses elsewhere.
    void update(const std::vector<NodeName>& own, const std::vector<NodeName>& others);

    /// \returns whether a witness is still to be asked.
    bool lacksAnswerOf(const NodeName& peer) const { return !m_heard.contains(peer) && !m_failed.contains(peer); }
    /// True once the floor is known.
    bool confirmed() const { return m_confirmed; }
    const std::optional<publication::ConfigurationStamp>& floor() const { return m_floor; }
    /// \returns whether a node that holds this may serve.
    bool passes(const std::optional<publication::ConfigurationStamp>& held) const;

private:
    static constexpr std::size_t s_maxHeard = 4096;

    bool settled(const std::vector<NodeName>& witnesses) const;
    std::size_t answersOf(const std::vector<NodeName>& witnesses) const;
    std::size_t failuresOf(const std::vector<NodeName>& witnesses) const;

    std::set<NodeName> m_heard;
    std::set<NodeName> m_failed;
    std::optional<publication::ConfigurationStamp> m_floor;
    bool m_confirmed = false;
};

}
