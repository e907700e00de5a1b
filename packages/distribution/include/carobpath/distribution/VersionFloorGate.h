#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <optional>
#include <set>
#include <vector>

namespace carobpath::distribution {

/// Decides whether this node may serve: it must know the version floor of its address and must have reached it.
///
/// The floor is known once the log was read to its end or enough of the node's witnesses answered. Some witnesses are in the
/// local failure domain, since they remain reachable during a partition and have received the versions that the node had
/// before it stopped. Others are in remote failure domains, since a whole failure domain can fail.
class VersionFloorGate {
public:
    /// Number of witnesses of each kind, local and remote, that are notified of each adopted version. Also the number that
    /// are queried at a time.
    static constexpr std::size_t s_notifiedWitnesses = 2;
    /// Number of witnesses of each kind that may be queried until one answers.
    static constexpr std::size_t s_queriedWitnesses = 4;
    /// Number of answers required in total, or fewer if fewer witnesses are reachable.
    static constexpr std::size_t s_requiredAnswers = 2;

    /// Records the version floor that a peer reported for this address.
    void onAnswer(const NodeName& peer, const std::optional<publication::ConfigurationStamp>& floor);
    /// Records that a queried peer did not answer.
    void onFailed(const NodeName& peer);
    /// Records that the log was read to its end, so no node can ever have had a newer version.
    void onLogEnd() { m_confirmed = true; }
    /// Determines from the witnesses whether the floor is known: of each kind, one must have answered or all must have
    /// failed, and the required number of answers, but at least one, must have arrived. A known floor remains known.
    /// \param local witnesses in the local failure domain, including those considered dead.
    /// \param remote witnesses in other failure domains, including those considered dead.
    void update(const std::vector<NodeName>& local, const std::vector<NodeName>& remote);

    /// \returns whether the peer has neither answered nor failed to answer.
    bool awaitsAnswerFrom(const NodeName& peer) const { return !m_answered.contains(peer) && !m_failed.contains(peer); }
    /// \returns whether the floor is known.
    bool confirmed() const { return m_confirmed; }
    const std::optional<publication::ConfigurationStamp>& floor() const { return m_floor; }
    /// \returns whether a node with this version may serve.
    bool passes(const std::optional<publication::ConfigurationStamp>& current) const;

private:
    static constexpr std::size_t s_maxTracked = 4096;

    bool settled(const std::vector<NodeName>& witnesses) const;
    std::size_t countAnswers(const std::vector<NodeName>& witnesses) const;
    std::size_t countFailures(const std::vector<NodeName>& witnesses) const;

    std::set<NodeName> m_answered;
    std::set<NodeName> m_failed;
    std::optional<publication::ConfigurationStamp> m_floor;
    bool m_confirmed = false;
};

}
