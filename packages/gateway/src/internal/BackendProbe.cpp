#include "internal/BackendProbe.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace carobpath::gateway::Detail {

using boost::asio::ip::tcp;

BackendProbe::BackendProbe(boost::asio::io_context& io, const tcp::endpoint& endpoint, Handler handler)
    : m_endpoint(endpoint)
    , m_socket(io)
    , m_timer(io)
    , m_handler(std::move(handler))
{
}

void BackendProbe::start(boost::asio::io_context& io, const tcp::endpoint& endpoint, Handler handler)
{
    const std::shared_ptr<BackendProbe> probe { new BackendProbe(io, endpoint, std::move(handler)) };
    probe->startTimer();
    probe->connect();
}

void BackendProbe::startTimer()
{
    m_timer.expires_after(s_timeout);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->finish(false);
    });
}

void BackendProbe::connect()
{
    m_socket.async_connect(m_endpoint, [self = shared_from_this()](boost::system::error_code ec) { self->onConnected(ec); });
}

void BackendProbe::onConnected(boost::system::error_code ec)
{
    if (ec)
        finish(ec == boost::asio::error::connection_refused);
    else if (std::exchange(m_wasAccepted, true))
        finish(false);
    else
        watch();
}

void BackendProbe::watch()
{
    m_socket.async_read_some(boost::asio::buffer(m_byte), [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        if (!self->m_handler)
            return;
        if (!ec) {
            self->finish(false);
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.close(ignored);
        self->connect();
    });
}

void BackendProbe::finish(bool hasEnded)
{
    const auto handler = std::exchange(m_handler, nullptr);
    if (!handler)
        return;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    handler(hasEnded);
}

}
