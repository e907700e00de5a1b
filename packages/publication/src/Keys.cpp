#include "carobpath/publication/Keys.h"

#include "carobpath/foundation/Hex.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <memory>
#include <new>

namespace carobpath::publication {

namespace {

    struct KeyDeleter {
        void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
    };

    struct ContextDeleter {
        void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
    };

    using KeyHandle = std::unique_ptr<EVP_PKEY, KeyDeleter>;
    using ContextHandle = std::unique_ptr<EVP_MD_CTX, ContextDeleter>;

    const unsigned char* dataOf(std::string_view bytes)
    {
        return reinterpret_cast<const unsigned char*>(bytes.data());
    }

    // These OpenSSL calls fail only if memory or a random source is unavailable.
    void require(bool ok)
    {
        if (!ok)
            throw std::bad_alloc {};
    }

    KeyHandle privateKey(const std::array<std::uint8_t, 32>& seed)
    {
        KeyHandle key { EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, seed.data(), seed.size()) };
        require(key != nullptr);
        return key;
    }

    bool verify(const PublicKey& publicKey, std::string_view bytes, const Signature& signature)
    {
        const KeyHandle key { EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, publicKey.bytes.data(), publicKey.bytes.size()) };
        if (!key)
            return false;
        const ContextHandle context { EVP_MD_CTX_new() };
        require(context != nullptr);
        if (EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1)
            return false;
        return EVP_DigestVerify(context.get(), signature.bytes.data(), signature.bytes.size(), dataOf(bytes), bytes.size()) == 1;
    }

    bool verifyAny(const std::vector<PublicKey>& keys, std::string_view bytes, const Signature& signature)
    {
        return std::any_of(keys.begin(), keys.end(), [&](const PublicKey& it) { return verify(it, bytes, signature); });
    }

}

KeyPair KeyPair::generate()
{
    KeyPair pair;
    require(RAND_priv_bytes(pair.m_seed.data(), static_cast<int>(pair.m_seed.size())) == 1);
    return pair;
}

Result<KeyPair> KeyPair::fromHex(std::string_view text)
{
    const auto seed = bytesFromHex<32>(text);
    if (!seed)
        return boost::leaf::new_error(BadKeyText {});
    KeyPair pair;
    pair.m_seed = *seed;
    return pair;
}

KeyPair::~KeyPair()
{
    OPENSSL_cleanse(m_seed.data(), m_seed.size());
}

PublicKey KeyPair::publicKey() const
{
    PublicKey result;
    std::size_t size = result.bytes.size();
    const KeyHandle key = privateKey(m_seed);
    require(EVP_PKEY_get_raw_public_key(key.get(), result.bytes.data(), &size) == 1);
    return result;
}

Signature KeyPair::sign(std::string_view bytes) const
{
    Signature signature;
    std::size_t size = signature.bytes.size();
    const KeyHandle key = privateKey(m_seed);
    const ContextHandle context { EVP_MD_CTX_new() };
    require(context != nullptr);
    require(EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1);
    require(EVP_DigestSign(context.get(), signature.bytes.data(), &size, dataOf(bytes), bytes.size()) == 1);
    return signature;
}

std::string KeyPair::privateHex() const
{
    return bytesToHex(m_seed);
}

void TrustedKeys::addMember(const MemberName& member, const PublicKey& key)
{
    m_members[member].push_back(key);
}

void TrustedKeys::addFleet(const PublicKey& key)
{
    m_fleet.push_back(key);
}

bool TrustedKeys::verifyMember(const MemberName& member, std::string_view bytes, const Signature& signature) const
{
    const auto it = m_members.find(member);
    return it != m_members.end() && verifyAny(it->second, bytes, signature);
}

bool TrustedKeys::verifyFleet(std::string_view bytes, const Signature& signature) const
{
    return m_trustsAnyFleet || verifyAny(m_fleet, bytes, signature);
}

std::string toHex(const PublicKey& it) { return bytesToHex(it.bytes); }
std::string toHex(const Signature& it) { return bytesToHex(it.bytes); }

Result<PublicKey> publicKeyFromHex(std::string_view text)
{
    const auto bytes = bytesFromHex<PublicKey::s_size>(text);
    if (!bytes)
        return boost::leaf::new_error(BadKeyText {});
    return PublicKey { *bytes };
}

Result<Signature> signatureFromHex(std::string_view text)
{
    const auto bytes = bytesFromHex<Signature::s_size>(text);
    if (!bytes)
        return boost::leaf::new_error(BadKeyText {});
    return Signature { *bytes };
}

}
