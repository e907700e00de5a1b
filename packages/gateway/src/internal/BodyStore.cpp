#include "internal/BodyStore.h"

#include <utility>

namespace carobpath::gateway::Detail {

void BodyStore::offer(const std::string& id, const std::shared_ptr<const BodyBlocks>& body)
{
    std::erase_if(m_offered, [](const auto& it) { return it.second.expired(); });
    m_offered[id] = body;
}

std::shared_ptr<const BodyBlocks> BodyStore::offered(std::string_view id) const
{
    const auto it = m_offered.find(id);
    return it == m_offered.end() ? nullptr : it->second.lock();
}

Charge::Charge(BodyStore::Pointer store, std::uint64_t bytes)
    : m_store(std::move(store))
{
    set(bytes);
}

void Charge::set(std::uint64_t bytes)
{
    if (m_store)
        m_store->m_heldBytes += bytes - m_bytes;
    m_bytes = bytes;
}

}
