#pragma once

#include "carobpath/foundation/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace carobpath::gateway {

/// What the server does once it has written its bytes.
enum class ScriptEnd {
    Close,
    StaySilent,
};

/// Plays one script on each connection that it accepts: reads until the end of a request's header, writes its bytes,
/// then closes or says no more.
class ScriptedServer {
public:
    ScriptedServer(boost::asio::io_context& context, std::string answer, ScriptEnd end)
        : m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_endpoint { "127.0.0.1", m_acceptor.local_endpoint().port() }
        , m_answer(std::move(answer))
        , m_end(end)
    {
        accept();
    }

    /// The answer goes on with the rest after the delay.
    void continueWith(std::string rest, std::chrono::milliseconds delay)
    {
        m_rest = std::move(rest);
        m_delay = delay;
    }

    /// Connections that are accepted from now on get this answer.
    void answerNewConnectionsWith(std::string answer) { m_answer = std::move(answer); }

    /// Every connection closes after these bytes of its next answer.
    void cutNextAnswer(const std::string& bytes)
    {
        m_end = ScriptEnd::Close;
        for (const auto& it : m_sockets)
            it->answer = bytes;
    }

    const Endpoint& endpoint() const { return m_endpoint; }
    int accepted() const { return static_cast<int>(m_sockets.size()); }
    int requests() const { return m_requests; }
    void close() { m_acceptor.close(); }

private:
    struct Peer {
        Peer(boost::asio::ip::tcp::socket&& accepted, std::string scripted)
            : socket(std::move(accepted))
            , answer(std::move(scripted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string answer;
        std::array<char, 4096> piece {};
        std::string read;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            m_sockets.push_back(std::make_shared<Peer>(std::move(socket), m_answer));
            read(m_sockets.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Peer>& peer)
    {
        peer->socket.async_read_some(boost::asio::buffer(peer->piece), [this, peer](boost::system::error_code ec, std::size_t n) {
            if (ec)
                return;
            peer->read.append(peer->piece.data(), n);
            if (peer->read.find("\r\n\r\n") == std::string::npos) {
                read(peer);
                return;
            }
            peer->read.clear();
            ++m_requests;
            answer(peer);
        });
    }

    void answer(const std::shared_ptr<Peer>& peer)
    {
        boost::system::error_code ec;
        boost::asio::write(peer->socket, boost::asio::buffer(peer->answer), ec);
        if (!m_rest.empty())
            writeRest(peer);
        if (m_end == ScriptEnd::Close)
            peer->socket.close(ec);
        else
            read(peer);
    }

    void writeRest(const std::shared_ptr<Peer>& peer)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_acceptor.get_executor(), m_delay);
        timer->async_wait([this, peer, timer](boost::system::error_code) {
            boost::system::error_code ec;
            boost::asio::write(peer->socket, boost::asio::buffer(m_rest), ec);
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    std::string m_answer;
    ScriptEnd m_end;
    std::string m_rest;
    std::chrono::milliseconds m_delay {};
    std::vector<std::shared_ptr<Peer>> m_sockets;
    int m_requests = 0;
};

}
