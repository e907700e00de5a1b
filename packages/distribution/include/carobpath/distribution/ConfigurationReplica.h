#pragma once

#include "carobpath/distribution/Delta.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace carobpath::distribution {

/// \returns the digest of the canonical encoding of a set.
using SetDigest = std::function<Digest(const publication::ConfigurationSet&)>;

/// What became of a configuration that was offered to the keeper.
enum class Adoption : std::uint8_t {
    /// It is held from now on.
    Adopted,
    AlreadyHeld,
    /// Refused: what is held is newer.
    Older,
    /// Refused: the delta starts from another version than the one held; the whole set is needed.
    BaseMismatch,
    /// Refused: the set does not have the digest that it was sent with.
    DigestMismatch,
    /// Refused: same offset as the one held, other digest.
    Conflict,
};

/// Holds the configuration version in force. Never goes back, never takes a part.
class ConfigurationReplica {
public:
    /// Earlier versions kept to make deltas from.
    static constexpr std::size_t s_history = 16;

    explicit ConfigurationReplica(SetDigest);

    /// \returns the version held, or null.
    const publication::ConfigurationPointer& held() const { return m_held; }
    std::optional<publication::ConfigurationStamp> stamp() const;

    /// Takes a version that was folded here from the log.
    Adoption adoptFolded(publication::ConfigurationPointer);
    /// Takes a whole version from a peer, once its set has the digest that it names.
    Adoption adoptWhole(publication::ConfigurationPointer);
    /// Takes a delta from a peer, once it starts from what is held and its result has the digest that it names.
    Adoption applyDelta(const Delta&);

    /// \returns the way from an earlier version to the one held, or null where that version is not kept.
    std::shared_ptr<const Delta> deltaFrom(const publication::ConfigurationStamp& base) const;

private:
    std::optional<Adoption> refusal(const publication::ConfigurationStamp&) const;
    Adoption swapIn(publication::ConfigurationPointer);

    SetDigest m_digest;
    publication::ConfigurationPointer m_held;
    std::deque<publication::ConfigurationPointer> m_earlier;
    /// Deltas to the version held, made on first use.
    mutable std::vector<std::shared_ptr<const Delta>> m_deltas;
};

}
