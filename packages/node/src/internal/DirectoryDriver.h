#pragma once

#include "carobpath/membership/DirectorySchedule.h"
#include "carobpath/membership/NodeEntry.h"
#include "carobpath/platform/StoreClient.h"
#include "internal/NodeContext.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace carobpath::node::Detail {

/// Keeps the node's entry in the directory of the platform's store, and finds other nodes there.
class DirectoryDriver : public std::enable_shared_from_this<DirectoryDriver> {
public:
    using OnFound = std::function<void(const std::vector<Endpoint>& peers)>;

    /// \param peer where this node listens for peers.
    DirectoryDriver(NodeContext&, platform::StoreClient&, Endpoint peer, OnFound);

    void start() { schedule(); }
    void stop();
    /// Takes the node's entry out of the directory.
    void leave();

    void onView(const membership::MembershipView&);
    /// The store has come back from a copy.
    void onStoreReturned();

private:
    void schedule();
    void tick();
    void registerSelf();
    void list();
    void onListed(const publication::KeyedResult&);
    void fail(std::string_view step, const publication::LogFailure&);

    NodeContext& m_context;
    platform::StoreClient& m_store;
    Endpoint m_peer;
    OnFound m_onFound;
    membership::DirectorySchedule m_plan;
    boost::asio::steady_timer m_timer;
    /// The store has come back from a copy since this node's entry was last seen.
    bool m_isEntrySuspect = false;
    bool m_stopped = false;
};

}
