#pragma once

/// \file
/// Keys and signatures that authenticate the writer of a record. Members sign what they publish with their own keys; nodes
/// sign verdicts and checkpoints with the fleet key. All keys are Ed25519 keys, so a process that can verify records need
/// not be able to create them.

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Result.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::publication {

/// Error: the text of a key or signature does not have the required number of lower-case hexadecimal digits.
struct BadKeyText { };

struct Signature {
    static constexpr std::size_t s_size = 64;
    std::array<std::uint8_t, s_size> bytes {};

    friend bool operator==(const Signature&, const Signature&) = default;
};

struct PublicKey {
    static constexpr std::size_t s_size = 32;
    std::array<std::uint8_t, s_size> bytes {};

    friend auto operator<=>(const PublicKey&, const PublicKey&) = default;
};

/// A private key and its public key. The destructor clears the memory of the private key.
class KeyPair {
public:
    /// Generates a new key from the system's random source.
    static KeyPair generate();
    /// Reads a private key. \returns BadKeyText unless the text is 64 lower-case hexadecimal digits.
    static Result<KeyPair> fromHex(std::string_view text);

    KeyPair(const KeyPair&) = default;
    KeyPair& operator=(const KeyPair&) = default;
    ~KeyPair();

    PublicKey publicKey() const;
    Signature sign(std::string_view bytes) const;
    /// \returns the private key as 64 lower-case hexadecimal digits.
    std::string privateHex() const;

private:
    KeyPair() = default;

    std::array<std::uint8_t, 32> m_seed {};
};

/// The keys that a log reader trusts. All readers of a log must have the same keys, or their states diverge.
class TrustedKeys {
public:
    /// A member may have several keys, so that one can be replaced without a gap.
    void addMember(const MemberName&, const PublicKey&);
    void addFleet(const PublicKey&);
    /// Accepts the records of nodes without verification. Only for a client that does not have the fleet key: its output may
    /// then be based on forged records, but the nodes' decisions are not affected.
    void trustAnyFleet() { m_trustsAnyFleet = true; }

    bool verifyMember(const MemberName&, std::string_view bytes, const Signature&) const;
    bool verifyFleet(std::string_view bytes, const Signature&) const;
    bool knowsMember(const MemberName& member) const { return m_members.contains(member); }

private:
    std::map<MemberName, std::vector<PublicKey>> m_members;
    std::vector<PublicKey> m_fleet;
    bool m_trustsAnyFleet = false;
};

std::string toHex(const PublicKey&);
std::string toHex(const Signature&);
/// \returns BadKeyText unless the text is 64 lower-case hexadecimal digits.
Result<PublicKey> publicKeyFromHex(std::string_view text);
/// \returns BadKeyText unless the text is 128 lower-case hexadecimal digits.
Result<Signature> signatureFromHex(std::string_view text);

}
