#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace carobpath::gateway::Detail {

struct BodyBlocks;

/// Counts the bytes of requests that a process holds, and knows the bodies that it has sent: one that comes back to the same process is
/// held once.
class BodyStore {
public:
    using Pointer = std::shared_ptr<BodyStore>;

    std::uint64_t heldBytes() const { return m_heldBytes; }

    /// The body is being sent with a call of the id.
    void offer(const std::string& id, const std::shared_ptr<const BodyBlocks>&);
    /// \returns the body that was sent last with the id and is still held.
    std::shared_ptr<const BodyBlocks> offered(std::string_view id) const;

private:
    friend class Charge;

    std::uint64_t m_heldBytes = 0;
    std::map<std::string, std::weak_ptr<const BodyBlocks>, std::less<>> m_offered;
};

/// Bytes that count as held until the charge ends.
class Charge {
public:
    /// \param store nothing is counted without one.
    explicit Charge(BodyStore::Pointer store, std::uint64_t bytes = 0);
    ~Charge() { set(0); }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    void set(std::uint64_t bytes);

private:
    BodyStore::Pointer m_store;
    std::uint64_t m_bytes = 0;
};

}
