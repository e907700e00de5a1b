#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/membership/Announcement.h"
#include "carobpath/platform/StoreClient.h"
#include "internal/NodeContext.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace carobpath::node::Detail {

/// \returns the text that the store holds of a run that has left. Its start must be known.
std::string departureText(const membership::BackendRun&);
/// \returns nothing if the text is not one of \c departureText.
std::optional<membership::BackendRun> departureFromText(const std::string& text);

/// Keeps the last backend server whose leaving this node acknowledged on the platform's store, and learns from there which ones
/// had left before the node started.
class DepartureDriver : public std::enable_shared_from_this<DepartureDriver> {
public:
    using OnKnown = std::function<void(const std::vector<membership::BackendRun>& departed)>;

    DepartureDriver(NodeContext&, platform::StoreClient&, OnKnown);

    /// Reads the departures that all nodes wrote, until that succeeds.
    void start() { list(); }
    void stop();

    /// Writes that the run has left, until that succeeds.
    /// \param recorded called once, when the store has it, or after a time in which a store that is well would have.
    void record(const membership::BackendRun&, std::function<void()> recorded);
    /// The store has come back from a copy, which may lack the departure.
    void onStoreReturned();

private:
    void list();
    void listAgain();
    void onListed(const publication::KeyedBatch&);
    void write();
    void writeAgain();
    void onWritten(const membership::BackendRun&);
    void acknowledge();
    void acknowledgeAfterTimeout();
    void fail(std::string_view step, const publication::LogFailure&);
    /// Runs the action after the delay, unless the driver is stopped; the driver lives until then.
    void after(boost::asio::steady_timer&, std::chrono::milliseconds delay, std::function<void()> action);

    NodeContext& m_context;
    platform::StoreClient& m_store;
    OnKnown m_onKnown;
    std::mt19937_64 m_random;
    Backoff m_listBackoff;
    Backoff m_writeBackoff;
    boost::asio::steady_timer m_listTimer;
    boost::asio::steady_timer m_writeTimer;
    boost::asio::steady_timer m_acknowledgeTimer;
    /// The last run that left.
    std::optional<membership::BackendRun> m_departed;
    /// Whether the store is known to hold it.
    bool m_isRecorded = false;
    std::vector<std::function<void()>> m_waiting;
    bool m_stopped = false;
};

}
