#pragma once

#include "carobpath/publication/ConfigurationSet.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace carobpath::access {

/// Finds the workspace that holds an API key, by the digest of the key. The table is immutable; one is created for each
/// configuration version, which must outlive it.
class KeyTable {
public:
    KeyTable() = default;
    explicit KeyTable(const publication::ConfigurationSet&);

    /// \returns whether callers need a key: the configuration has workspaces.
    bool isInForce() const { return m_isInForce; }

    /// \returns the workspace that holds the key; null if none does.
    const publication::Workspace* find(const Digest& key) const;

private:
    /// The bytes of a digest are as good as a hash.
    struct DigestHash {
        std::size_t operator()(const Digest&) const;
    };

    std::unordered_map<Digest, const publication::Workspace*, DigestHash> m_workspaces;
    bool m_isInForce = false;
};

}
