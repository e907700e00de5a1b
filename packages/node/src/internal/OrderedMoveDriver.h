#pragma once

#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/moves/OrderedMoves.h"
#include "carobpath/platform/MoveDocument.h"
#include "carobpath/platform/StoreClient.h"
#include "internal/KeyedReader.h"
#include "internal/NodeContext.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace carobpath::node::Detail {

/// Carries the commands of the operator's moves out: writes their states to the store under a condition, has findings
/// spread, writes the time line. Follows the states in the store while a move has no end.
class OrderedMoveDriver : public std::enable_shared_from_this<OrderedMoveDriver> {
public:
    /// \param onNotice called when a finding must be spread at once.
    /// \param statusHooks told of the positions in the stream of states.
    OrderedMoveDriver(NodeContext&, platform::StoreClient&, std::function<void()> onNotice, StreamHooks statusHooks);

    void start();
    void stop();

    moves::OrderedMoves& engine() { return m_engine; }

    /// See \c KeyedReader, for the stream of states.
    void setCheckSchedule(const std::optional<publication::CheckSchedule>&);
    void onStatusEndKnown(publication::StreamPosition end);
    void onEra(publication::StoreEra);

    /// A record about a move in the operator's stream.
    /// \returns whether the order can be read.
    bool onOrder(const publication::KeyedRecord&);
    /// Counts a call that the backend server beside this node dealt with.
    void onBackend(const ServiceName&, const gateway::BackendObservation&, bool isCold);

private:
    using Reader = KeyedReader<platform::StoreClient>;

    void schedule();
    void tick();
    void followStatus();
    KeyedReaderHooks readerHooks();
    /// The states in the store were listed. Where one is older than the newest order, those before it are read first.
    void onStatusListed();
    bool lacksStatus() const;
    void readStatusHistory(publication::Offset from);
    void onStatusKnown();
    bool onStatusRecord(const publication::KeyedRecord&);
    /// \returns nothing if the record cannot be read, which is logged.
    std::optional<platform::StoredMoveStatus> readStatus(const publication::KeyedRecord&);
    void onStatus(const platform::StoredMoveStatus&);
    /// Takes the state of the service's move from a listing.
    /// \returns nothing if the listing has none that can be read.
    std::optional<moves::MoveStatus> heldStatus(const publication::KeyedBatch& listing, const ServiceName&);
    void takeOrder(const moves::MoveOrder&);
    void perform(const moves::WriteStatus&);
    void perform(const moves::BroadcastNotice&);
    void perform(const moves::TrafficSplitChanged&);
    /// Writes the status unless its order was replaced, or the listing holds an end of it or the state of a later order.
    void writeAfter(const publication::KeyedBatch& listing, moves::MoveStatus);
    void reportFailure(const moves::MoveStatus&, const publication::LogFailure&);

    NodeContext& m_context;
    platform::StoreClient& m_store;
    std::function<void()> m_onNotice;
    StreamHooks m_statusHooks;
    std::optional<publication::CheckSchedule> m_checkSchedule;
    moves::OrderedMoves m_engine;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<Reader> m_reader;
    /// Orders that wait for the first look at the states in the store.
    std::map<ServiceName, moves::MoveOrder> m_orders;
    /// The state of each service's newest order, which tells when it was given, as far as the store told.
    std::map<ServiceName, platform::StoredMoveStatus> m_stored;
    bool m_statusKnown = false;
    bool m_isReadingHistory = false;
    bool m_stopped = false;
};

}
