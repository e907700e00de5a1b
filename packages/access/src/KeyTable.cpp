#include "carobpath/access/KeyTable.h"

#include <cstring>

namespace carobpath::access {

std::size_t KeyTable::DigestHash::operator()(const Digest& digest) const
{
    std::size_t hash = 0;
    static_assert(sizeof(hash) <= Digest::s_size);
    std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
    return hash;
}

KeyTable::KeyTable(const publication::ConfigurationSet& set)
    : m_isInForce(!set.workspaces.empty())
{
    for (const auto& [name, entry] : set.workspaces) {
        for (const auto& key : entry.workspace.keys)
            m_workspaces.emplace(key, &entry.workspace);
    }
}

const publication::Workspace* KeyTable::find(const Digest& key) const
{
    const auto it = m_workspaces.find(key);
    return it == m_workspaces.end() ? nullptr : it->second;
}

}
