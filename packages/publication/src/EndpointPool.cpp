#include "carobpath/publication/EndpointPool.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>

namespace carobpath::publication::Detail {

namespace {

    // If an idle connection is readable, the peer has closed it or has sent bytes that were not requested.
    bool isStale(boost::beast::tcp_stream& stream)
    {
        boost::system::error_code ec;
        char byte = 0;
        stream.socket().non_blocking(true, ec);
        stream.socket().receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, ec);
        return ec != boost::asio::error::would_block;
    }

}

void EndpointPool::send(std::size_t endpoint, HttpRequest request, HttpHandler handler)
{
    auto idle = takeIdle(endpoint);
    if (!idle)
        return sendOnNew(endpoint, std::move(request), std::move(handler));
    // If no byte could be written to the idle connection, the request is sent over a new one.
    const auto exchange = makeExchange(endpoint, request, [weak = weak_from_this(), endpoint, request, handler, sentAt = MonotonicClock::now()](HttpResult result) {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto* failure = std::get_if<HttpFailure>(&result);
        if (failure && *failure == HttpFailure::NotSent)
            return self->sendOnNew(endpoint, request, handler);
        self->onResult(endpoint, sentAt, std::move(result), handler);
    });
    exchange->startOn(std::move(idle));
}

void EndpointPool::close()
{
    m_isClosed = true;
    m_idle.clear();
    for (const auto& it : m_running) {
        if (const auto exchange = it.lock())
            exchange->cancel();
    }
    m_running.clear();
}

void EndpointPool::sendOnNew(std::size_t endpoint, HttpRequest request, HttpHandler handler)
{
    const auto exchange = makeExchange(endpoint, std::move(request), [weak = weak_from_this(), endpoint, handler = std::move(handler), sentAt = MonotonicClock::now()](HttpResult result) {
        if (const auto self = weak.lock())
            self->onResult(endpoint, sentAt, std::move(result), handler);
    });
    exchange->start();
}

void EndpointPool::onResult(std::size_t endpoint, MonotonicTime sentAt, HttpResult result, const HttpHandler& handler)
{
    if (m_isClosed)
        return;
    const auto* failure = std::get_if<HttpFailure>(&result);
    if (failure && *failure == HttpFailure::TimedOut)
        closeUnheard(endpoint, sentAt);
    auto* answer = std::get_if<HttpAnswer>(&result);
    if (answer)
        m_preferred = endpoint;
    if (answer && answer->reusable) {
        m_idle.push_back({ endpoint, std::move(answer->reusable), MonotonicClock::now() });
        if (m_idle.size() > m_maxIdleConnections)
            m_idle.pop_front();
    }
    handler(std::move(result));
}

void EndpointPool::closeUnheard(std::size_t endpoint, MonotonicTime since)
{
    std::erase_if(m_idle, [&](const IdleConnection& it) { return it.endpoint == endpoint && it.answeredAt < since; });
}

StreamPointer EndpointPool::takeIdle(std::size_t endpoint)
{
    std::erase_if(m_idle, [](IdleConnection& it) { return isStale(*it.stream); });
    const auto it = std::find_if(m_idle.begin(), m_idle.end(), [&](const auto& idle) { return idle.endpoint == endpoint; });
    if (it == m_idle.end())
        return nullptr;
    StreamPointer stream = std::move(it->stream);
    m_idle.erase(it);
    return stream;
}

std::shared_ptr<HttpExchange> EndpointPool::makeExchange(std::size_t endpoint, HttpRequest request, HttpHandler handler)
{
    std::erase_if(m_running, [](const auto& it) { return it.expired(); });
    auto exchange = std::make_shared<HttpExchange>(m_executor, m_endpoints.at(endpoint), std::move(request), std::move(handler));
    m_running.push_back(exchange);
    return exchange;
}

}
