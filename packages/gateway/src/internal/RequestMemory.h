#pragma once

#include "internal/BodyStore.h"
#include "internal/SheddingPolicy.h"

#include <functional>
#include <memory>
#include <unordered_set>

namespace carobpath::gateway::Detail {

/// A request that has not come whole and can be given up.
class UnfinishedRequest {
public:
    virtual UnfinishedUse use() const = 0;
    /// Refuses it as not run and frees its bytes.
    virtual void shed() = 0;

protected:
    virtual ~UnfinishedRequest() = default;
};

/// What the requests of a process hold, over all its listeners.
class RequestMemory {
public:
    using Pointer = std::shared_ptr<RequestMemory>;

    /// \param onShed is called for each request that is given up; may be empty.
    explicit RequestMemory(std::uint64_t heldBytes, std::function<void()> onShed = nullptr);

    const BodyStore::Pointer& store() const { return m_store; }

    /// Those that are added are removed before their end.
    void add(UnfinishedRequest& it) { m_unfinished.insert(&it); }
    void remove(UnfinishedRequest& it) { m_unfinished.erase(&it); }

    /// Sheds unfinished requests until a request of this size can go on, be it that request itself.
    /// \returns false where what is held by whole requests leaves no room.
    bool makeRoom(std::uint64_t requestBytes, MonotonicTime now);
    /// A request was refused for want of room.
    void countShed() const;

private:
    UnfinishedRequest* victim(std::uint64_t requestBytes, MonotonicTime now) const;

    SheddingPolicy m_policy;
    std::function<void()> m_onShed;
    BodyStore::Pointer m_store = std::make_shared<BodyStore>();
    std::unordered_set<UnfinishedRequest*> m_unfinished;
};

}
