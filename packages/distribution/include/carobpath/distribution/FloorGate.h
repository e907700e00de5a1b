#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <optional>
#include <set>
#include <vector>

namespace carobpath::distribution {

/// Decides whether this node may serve: it must know the floor of its address, and have reached it.
/// The floor is known once enough of the node's witnesses were asked, or once the log was read to its end.
class FloorGate {
public:
    /// Nodes that are told of each version that this node takes.
    static constexpr std::size_t s_witnesses = 3;
    /// Witnesses that must have answered.
    static constexpr std::size_t s_answersNeeded = 2;

    /// Takes what a peer said of this address.
    void onHeard(const NodeName& peer, const std::optional<publication::ConfigurationStamp>& floor);
    /// The log was read to its end: nothing newer was ever held anywhere.
    void onLogEnd() { m_confirmed = true; }
    /// Settles whether the floor is known.
    /// \param witnesses the witnesses among the nodes that are known to live.
    void update(const std::vector<NodeName>& witnesses);

    bool heardFrom(const NodeName& peer) const { return m_heard.contains(peer); }
    /// True once the floor is known.
    bool confirmed() const { return m_confirmed; }
    const std::optional<publication::ConfigurationStamp>& floor() const { return m_floor; }
    /// \returns whether a node that holds this may serve.
    bool passes(const std::optional<publication::ConfigurationStamp>& held) const;

private:
    static constexpr std::size_t s_maxHeard = 4096;

    std::set<NodeName> m_heard;
    std::optional<publication::ConfigurationStamp> m_floor;
    bool m_confirmed = false;
};

}
