#pragma once

#include <chrono>
#include <cstddef>

/// Bounds of everything that is published. A record past one of them is refused with a typed fault.
namespace carobpath::publication::bounds {

inline constexpr std::size_t kibibyte = 1024;

/// A name of an object, member or writer: 1 to this many of a-z, 0-9, '.', '_' and '-'.
inline constexpr std::size_t nameLength = 64;
/// A host name, as in DNS.
inline constexpr std::size_t hostLength = 253;
inline constexpr std::size_t hostsPerService = 32;
inline constexpr std::size_t pathPrefixLength = 1024;
inline constexpr std::size_t methodLength = 16;
inline constexpr std::size_t methodsPerRoute = 16;
inline constexpr std::size_t evidenceBytes = 256;

inline constexpr std::size_t services = 1000;
inline constexpr std::size_t routes = 5000;
inline constexpr std::size_t versions = 5000;
inline constexpr std::size_t moves = 5000;
/// Ended moves of one service that stay readable; then the oldest go.
inline constexpr std::size_t endedMovesPerService = 8;

inline constexpr std::size_t changesPerRecord = 2000;
inline constexpr std::size_t recordBytes = 256 * kibibyte;
/// The log takes no larger record.
inline constexpr std::size_t checkpointBytes = 1024 * kibibyte;
/// Canonical encoding of the whole set, so that a checkpoint always fits into one record.
inline constexpr std::size_t setBytes = 640 * kibibyte;
/// Room kept in the set for the verdict of each unfinished move.
inline constexpr std::size_t verdictBytes = 2 * kibibyte;

/// Faults that are reported of one object file.
inline constexpr std::size_t reportedFaults = 1000;

/// Record ids that a fold remembers so that a repeated append takes effect once.
inline constexpr std::size_t rememberedRecords = 1024;
/// Deletions that a fold remembers so that an edit that crossed a deletion counts as stale.
inline constexpr std::size_t rememberedDeletions = 512;
/// Earlier stamps that a running fold keeps to compare checkpoints with.
inline constexpr std::size_t rememberedStamps = 256;

inline constexpr std::chrono::milliseconds shortestRouteTimeout { 1 };
inline constexpr std::chrono::milliseconds longestRouteTimeout { std::chrono::minutes { 60 } };
inline constexpr std::chrono::milliseconds longestMove { std::chrono::hours { 24 * 31 } };

}
