#pragma once

#include "carobpath/distribution/Delta.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace carobpath::distribution {

/// \returns the digest of the canonical encoding of a set.
using SetDigest = std::function<Digest(const publication::ConfigurationSet&)>;

/// Result of offering a configuration version to the replica.
enum class Adoption : std::uint8_t {
    /// The version is now the current one.
    Adopted,
    AlreadyCurrent,
    /// Refused: the current version is newer.
    Older,
    /// Refused: the base of the delta is not the current version; the full set is needed.
    BaseMismatch,
    /// Refused: the digest of the set differs from the one in its stamp.
    DigestMismatch,
    /// Refused: the offset equals that of the current version, but the digest differs.
    Conflict,
};

/// Holds this node's copy of the configuration. Only accepts newer versions, and only complete ones.
class ConfigurationReplica {
public:
    /// Number of earlier versions that deltas can be computed from.
    static constexpr std::size_t s_history = 16;

    explicit ConfigurationReplica(SetDigest);

    /// \returns the current version, or null.
    const publication::ConfigurationPointer& current() const { return m_current; }
    std::optional<publication::ConfigurationStamp> stamp() const;

    /// Adopts a version that this node replayed from the log. Its digest is not checked.
    /// \param span the records that led to it, if they are all configurations.
    Adoption adoptFromLog(publication::ConfigurationPointer, const std::optional<publication::RecordSpan>& span = std::nullopt);
    /// Adopts a full set from a peer if its digest matches its stamp.
    Adoption adoptFullSet(publication::ConfigurationPointer);
    /// Applies a delta from a peer if its base is the current version and the digest of the result matches.
    Adoption applyDelta(const Delta&);
    /// Applies deltas one after the other, each to the version that the ones before led to, or to one that is newer than its
    /// base. The digest of the last result decides, and no version between is adopted.
    Adoption applyDeltas(const std::vector<std::shared_ptr<const Delta>>&);

    /// \returns the delta from an earlier version to the current one, or null if that version is no longer stored.
    std::shared_ptr<const Delta> deltaFrom(const publication::ConfigurationStamp& base) const;

private:
    std::optional<Adoption> refusal(const publication::ConfigurationStamp&) const;
    Adoption install(publication::ConfigurationPointer, const std::optional<publication::RecordSpan>& span);

    SetDigest m_digest;
    publication::ConfigurationPointer m_current;
    /// The records that led to the current version, if they are known and all configurations.
    std::optional<publication::RecordSpan> m_span;
    std::deque<publication::ConfigurationPointer> m_earlier;
    /// Cached deltas to the current version, computed on first use.
    mutable std::vector<std::shared_ptr<const Delta>> m_deltas;
};

}
