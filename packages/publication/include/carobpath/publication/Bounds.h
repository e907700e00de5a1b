#pragma once

/// \file
/// Limits on everything that is published or remembered. A record that exceeds a limit on its contents is rejected with
/// a typed fault; where a limit concerns what is kept, the oldest entries are removed.

#include <chrono>
#include <cstddef>

namespace carobpath::publication::bounds {

inline constexpr std::size_t kibibyte = 1024;

/// Maximum length of the name of an object, member or writer. A name has at least one character, from a-z, 0-9, '.', '_' and '-'.
inline constexpr std::size_t nameLength = 64;
/// Maximum length of a host name in DNS.
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
/// Ended moves that are kept per service; beyond that, the oldest are removed.
inline constexpr std::size_t endedMovesPerService = 8;

inline constexpr std::size_t changesPerRecord = 2000;
inline constexpr std::size_t recordBytes = 256 * kibibyte;
/// The log refuses larger records.
inline constexpr std::size_t checkpointBytes = 1024 * kibibyte;
/// Size of the canonical encoding of the full set, limited so that a checkpoint always fits into one record.
inline constexpr std::size_t setBytes = 640 * kibibyte;
/// Space reserved in the set for the verdict of each unfinished move.
inline constexpr std::size_t verdictBytes = 2 * kibibyte;

/// Maximum number of faults that are reported for one object file.
inline constexpr std::size_t reportedFaults = 1000;

/// Record ids that the state machine remembers, so that a repeated append takes effect only once.
inline constexpr std::size_t rememberedRecords = 1024;
/// Deletions that the state machine remembers, so that an edit made without knowledge of the deletion is rejected as stale.
inline constexpr std::size_t rememberedDeletions = 512;
/// Earlier stamps that a running state machine keeps to compare checkpoints with.
inline constexpr std::size_t rememberedStamps = 256;

inline constexpr std::chrono::milliseconds minRouteTimeout { 1 };
inline constexpr std::chrono::milliseconds maxRouteTimeout { std::chrono::minutes { 60 } };
inline constexpr std::chrono::milliseconds maxMoveDuration { std::chrono::hours { 24 * 31 } };

}
