#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/HttpExchange.h"

#include <deque>
#include <memory>
#include <vector>

namespace carobpath::publication::Detail {

/// The endpoints of one service and the idle connections to them.
class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
public:
    EndpointPool(boost::asio::any_io_executor executor, std::vector<Endpoint> endpoints, std::size_t idleConnections)
        : m_executor(std::move(executor))
        , m_endpoints(std::move(endpoints))
        , m_maxIdleConnections(idleConnections)
    {
    }

    std::size_t size() const { return m_endpoints.size(); }

    /// Index of the endpoint that answered last.
    std::size_t preferred() const { return m_preferred; }

    /// Sends a request to an endpoint. The handler is called with the answer.
    void send(std::size_t endpoint, HttpRequest, HttpHandler);

    /// Closes the idle connections, so that the next requests go over new ones.
    void closeIdleConnections() { m_idle.clear(); }

    /// Cancels all exchanges without calling their handlers.
    void close();

private:
    struct IdleConnection {
        std::size_t endpoint = 0;
        StreamPointer stream;
        MonotonicTime answeredAt;
    };

    void sendOnNew(std::size_t endpoint, HttpRequest, HttpHandler);
    void onResult(std::size_t endpoint, MonotonicTime sentAt, HttpResult, const HttpHandler&);
    /// Closes the idle connections that were not heard since the time: they may have fallen silent with another one.
    void closeUnheard(std::size_t endpoint, MonotonicTime since);
    StreamPointer takeIdle(std::size_t endpoint);
    std::shared_ptr<HttpExchange> makeExchange(std::size_t endpoint, HttpRequest, HttpHandler);

    boost::asio::any_io_executor m_executor;
    std::vector<Endpoint> m_endpoints;
    std::size_t m_maxIdleConnections;
    std::size_t m_preferred = 0;
    std::deque<IdleConnection> m_idle;
    std::vector<std::weak_ptr<HttpExchange>> m_running;
    bool m_isClosed = false;
};

}
