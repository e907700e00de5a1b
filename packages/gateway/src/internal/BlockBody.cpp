#include "internal/BlockBody.h"

#include <algorithm>
#include <cstring>

namespace carobpath::gateway::Detail {

namespace {

    constexpr std::size_t smallestBlock = 4ULL * 1024;
    constexpr std::size_t largestBlock = 64ULL * 1024;

}

BodyBlock::BodyBlock(std::size_t capacity, const BodyStore::Pointer& store)
    : m_bytes(std::make_unique_for_overwrite<char[]>(capacity))
    , m_capacity(capacity)
    , m_charge(store, capacity)
{
}

std::size_t BodyBlock::append(std::string_view bytes)
{
    const auto n = std::min(bytes.size(), m_capacity - m_size);
    std::memcpy(m_bytes.get() + m_size, bytes.data(), n);
    m_size += n;
    return n;
}

BodyBytes::BodyBytes(std::string_view text) { append(text); }

std::string BodyBytes::text() const
{
    std::string all;
    all.reserve(size());
    if (m_blocks) {
        for (const auto& it : m_blocks->list)
            all += it->text();
    }
    return all;
}

BodyBlock& BodyBytes::blockWithRoom(std::optional<std::uint64_t> expected)
{
    // Blocks grow with what has come, not with what was announced.
    auto capacity = std::clamp(size(), smallestBlock, largestBlock);
    if (expected && *expected > size())
        capacity = static_cast<std::size_t>(std::min<std::uint64_t>(capacity, *expected - size()));
    m_blocks->list.push_back(std::make_shared<BodyBlock>(capacity, m_store));
    return *m_blocks->list.back();
}

void BodyBytes::append(std::string_view bytes, std::optional<std::uint64_t> expected)
{
    if (!m_blocks && !bytes.empty())
        m_blocks = std::make_shared<BodyBlocks>();
    while (!bytes.empty()) {
        auto n = m_blocks->list.empty() ? 0 : m_blocks->list.back()->append(bytes);
        if (n == 0)
            n = blockWithRoom(expected).append(bytes);
        m_blocks->size += n;
        bytes.remove_prefix(n);
    }
}

void BodyBytes::share(const BodyBlocks& other, std::size_t bytes)
{
    if (bytes == 0)
        return;
    m_blocks = std::make_shared<BodyBlocks>();
    for (const auto& it : other.list) {
        const auto text = it->text();
        const auto left = bytes - size();
        if (text.size() > left) {
            const auto rest = text.substr(0, left);
            if (!rest.empty())
                m_blocks->list.push_back(std::make_shared<BodyBlock>(rest.size(), m_store));
            m_blocks->size += rest.empty() ? 0 : m_blocks->list.back()->append(rest);
            return;
        }
        m_blocks->list.push_back(it);
        m_blocks->size += text.size();
    }
}

void BodyAssembly::begin(std::optional<std::uint64_t> length, std::string_view id)
{
    m_length = length;
    const bool mayBeOffered = length && *length > BodyBytes::s_smallBytes && m_body.store() && !id.empty();
    if (!mayBeOffered)
        return;
    m_offered = m_body.store()->offered(id);
    if (m_offered && m_offered->size != *length)
        m_offered = nullptr;
}

void BodyAssembly::append(std::string_view bytes)
{
    if (m_offered && equalsOffered(bytes)) {
        m_equalBytes += bytes.size();
        return;
    }
    if (m_offered) {
        m_body.share(*m_offered, m_equalBytes);
        m_offered = nullptr;
    }
    m_body.append(bytes, m_length);
}

void BodyAssembly::finish()
{
    if (m_offered)
        m_body.share(*m_offered, m_equalBytes);
    m_offered = nullptr;
}

bool BodyAssembly::equalsOffered(std::string_view bytes)
{
    auto block = m_block;
    auto offset = m_blockOffset;
    while (!bytes.empty()) {
        if (block == m_offered->list.size())
            return false;
        const auto text = m_offered->list[block]->text().substr(offset);
        const auto n = std::min(text.size(), bytes.size());
        if (text.substr(0, n) != bytes.substr(0, n))
            return false;
        bytes.remove_prefix(n);
        offset += n;
        if (n == text.size()) {
            ++block;
            offset = 0;
        }
    }
    m_block = block;
    m_blockOffset = offset;
    return true;
}

}
