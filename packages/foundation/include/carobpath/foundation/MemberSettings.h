#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/SettingParsers.h"
#include "carobpath/foundation/SettingsReader.h"

namespace carobpath {

/// A member of the consortium as every process knows it.
struct MemberSettings {
    MemberName name;
    /// Ed25519 public key that the member's records are signed with.
    HexKey publicKey;
};

inline constexpr std::size_t maximumMembers = 64;

/// \returns the keys of one item of "members".
const SettingsReader<MemberSettings>& memberSettingsReader();

/// Reports members that are listed twice with one key. With another key a member may be listed again, so that a key
/// can be replaced without a gap.
void reportRepeatedMembers(SettingsDocument&, const std::vector<MemberSettings>&);

}
