#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Result.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Who wrote a record. Members sign what they publish with a key of their own; nodes sign verdicts and checkpoints with
/// the key of the fleet. All are Ed25519, so that who can check a record need not be able to make one.
namespace carobpath::publication {

/// The error of a key text that is not 64 lower-case hexadecimal digits.
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

/// A private key and what is derived from it. Copies clear their memory when they go.
class KeyPair {
public:
    /// Makes a new key from the system's random source.
    static KeyPair generate();
    /// Reads a private key. \returns BadKeyText for another text.
    static Result<KeyPair> fromHex(std::string_view text);

    KeyPair(const KeyPair&) = default;
    KeyPair& operator=(const KeyPair&) = default;
    ~KeyPair();

    PublicKey publicKey() const;
    Signature sign(std::string_view bytes) const;
    /// \returns the private key as 64 hexadecimal digits.
    std::string privateHex() const;

private:
    KeyPair() = default;

    std::array<std::uint8_t, 32> m_seed {};
};

/// The keys whose records a reader believes. All readers of one log must hold the same, or their folds part.
class TrustedKeys {
public:
    /// A member may have several keys, so that one can be replaced without a gap.
    void addMember(const MemberName&, const PublicKey&);
    void addFleet(const PublicKey&);
    /// Takes the records of nodes unchecked. Only for a client that has no key of the fleet: what it shows may be forged,
    /// though what nodes do may not.
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
/// \returns BadKeyText unless the text is 64 hexadecimal digits.
Result<PublicKey> publicKeyFromHex(std::string_view text);
/// \returns BadKeyText unless the text is 128 hexadecimal digits.
Result<Signature> signatureFromHex(std::string_view text);

}
