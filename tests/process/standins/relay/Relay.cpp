#include "Relay.h"

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

namespace carobpath::standins {

RelayedConnection::RelayedConnection(tcp::socket accepted, const RelaySwitches& switches)
    : m_caller(std::move(accepted))
    , m_callee(m_caller.get_executor())
    , m_switches(switches)
    , m_forth(m_caller, m_callee)
    , m_back(m_callee, m_caller)
    , m_isSilent(switches.isSilent)
{
}

void RelayedConnection::start(const tcp::endpoint& destination)
{
    m_callee.async_connect(destination, [self = shared_from_this()](boost::system::error_code ec) {
        if (ec) {
            self->cut();
            return;
        }
        boost::system::error_code ignored;
        self->m_caller.set_option(tcp::no_delay(true), ignored);
        self->m_callee.set_option(tcp::no_delay(true), ignored);
        self->pump(self->m_forth);
        self->pump(self->m_back);
    });
}

void RelayedConnection::pump(Flow& flow)
{
    flow.from.async_read_some(boost::asio::buffer(flow.buffer), [self = shared_from_this(), &flow](boost::system::error_code ec, std::size_t n) {
        if (ec)
            self->endOfFlow(flow);
        else if (self->m_isSilent)
            self->pump(flow);
        else if (self->m_switches.delay.count() == 0)
            self->forward(flow, n);
        else {
            flow.timer.expires_after(self->m_switches.delay);
            flow.timer.async_wait([self, &flow, n](boost::system::error_code) { self->forward(flow, n); });
        }
    });
}

void RelayedConnection::forward(Flow& flow, std::size_t count)
{
    if (m_isSilent) {
        pump(flow);
        return;
    }
    boost::asio::async_write(flow.to, boost::asio::buffer(flow.buffer, count), [self = shared_from_this(), &flow](boost::system::error_code ec, std::size_t) {
        if (ec)
            self->endOfFlow(flow);
        else
            self->pump(flow);
    });
}

void RelayedConnection::endOfFlow(Flow& flow)
{
    // Something between two ends that has lost track of them tells neither that the other has gone.
    if (m_isSilent)
        return;
    boost::system::error_code ignored;
    flow.to.shutdown(tcp::socket::shutdown_send, ignored);
    const bool isOtherEnded = &flow == &m_forth ? !m_back.from.is_open() : !m_forth.from.is_open();
    m_isOpen = !isOtherEnded;
    flow.from.shutdown(tcp::socket::shutdown_receive, ignored);
}

void RelayedConnection::cut()
{
    m_isOpen = false;
    boost::system::error_code ignored;
    for (tcp::socket* socket : { &m_caller, &m_callee }) {
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

Relay::Relay(StandinProcess& process, const tcp::endpoint& listen, tcp::endpoint destination)
    : m_process(process)
    , m_destination(std::move(destination))
    , m_acceptor(process.context(), listen)
    , m_control(process.context(), endpointFromText("127.0.0.1:0"), [this](const auto& session) { control(*session); })
{
    accept();
}

void Relay::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (!ec) {
            forgetClosed();
            const auto connection = std::make_shared<RelayedConnection>(std::move(socket), m_switches);
            if (m_switches.isRefusing) {
                connection->cut();
            } else {
                m_connections.insert(connection);
                connection->start(m_destination);
            }
        }
        accept();
    });
}

void Relay::control(HttpSession& session)
{
    if (pathOf(session.request().target()) == "/counts") {
        forgetClosed();
        session.respond(jsonResponse(http::status::ok, nlohmann::json { { "connections", m_connections.size() } }.dump()));
        return;
    }
    try {
        applyControl(session.request().body());
    } catch (const nlohmann::json::exception& e) {
        session.respond(jsonResponse(http::status::bad_request, nlohmann::json { { "error", e.what() } }.dump()));
        return;
    }
    m_process.events().record(Event(event::switched).with("switches", session.request().body()));
    session.respond(jsonResponse(http::status::no_content, ""));
}

void Relay::applyControl(const std::string& json)
{
    const auto object = nlohmann::json::parse(json);
    m_switches.isSilent = object.value("silent", m_switches.isSilent);
    m_switches.isRefusing = object.value("refuse", m_switches.isRefusing);
    m_switches.delay = std::chrono::milliseconds(object.value("delayMs", m_switches.delay.count()));
    const bool isSilencing = object.value("silenceOpen", false);
    const bool isCutting = object.value("cutOpen", false);
    for (const auto& connection : m_connections) {
        if (isSilencing || m_switches.isSilent)
            connection->silence();
        if (isCutting)
            connection->cut();
    }
}

void Relay::forgetClosed()
{
    std::erase_if(m_connections, [](const auto& it) { return !it->isOpen(); });
}

}
