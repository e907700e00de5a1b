#pragma once

#include "carobpath/publication/LogService.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace carobpath::publication {

/// Where the log is and how long to wait for it.
struct HttpLogClientOptions {
    /// Tried in turn; the one that answered last is tried first.
    std::vector<Endpoint> endpoints;
    std::chrono::milliseconds connectTimeout { 1000 };
    /// Time for an answer, in addition to the wait of a read.
    std::chrono::milliseconds answerTimeout { 3000 };
    /// Connections that are kept open between operations.
    std::size_t idleConnections = 4;
    /// Operations at a time; further ones fail as unavailable.
    std::size_t operations = 256;
    /// A batch whose answer is larger is read again with fewer records.
    std::size_t answerBytes = 16UL * 1024 * 1024;
};

/// The platform's log over HTTP. Everything runs on one executor, whose context must run on one thread. Handlers that
/// are pending when the client is destroyed are dropped, not called.
class HttpLogClient {
public:
    HttpLogClient(const boost::asio::any_io_executor&, HttpLogClientOptions);
    ~HttpLogClient();
    HttpLogClient(HttpLogClient&&) noexcept;
    HttpLogClient& operator=(HttpLogClient&&) noexcept;
    HttpLogClient(const HttpLogClient&) = delete;
    HttpLogClient& operator=(const HttpLogClient&) = delete;

    /// Appends a record. An append is sent to a second endpoint only where no byte reached the first, or it said that it
    /// is down; so one call never appends twice.
    void append(const std::string& stream, std::string bytes, AppendHandler);

    /// Reads records from the offset on; waits for the first at most as long as given.
    void read(std::string stream, Offset from, std::chrono::milliseconds wait, std::size_t limit, ReadHandler);

private:
    class State;
    std::shared_ptr<State> m_state;
};

static_assert(LogService<HttpLogClient>);

}
