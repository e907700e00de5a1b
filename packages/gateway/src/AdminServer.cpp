#include "carobpath/gateway/AdminServer.h"

#include "carobpath/gateway/Gateway.h"
#include "internal/Listener.h"

#include <utility>

namespace carobpath::gateway {

namespace {

    /// \returns the limits of a server whose callers are a few local programs with short requests. Each such address adds its own to what the
    /// process may hold.
    GatewayLimits adminLimits()
    {
        GatewayLimits limits;
        limits.bodyBytes = AdminServer::s_bodyBytes;
        limits.heldBytes = AdminServer::s_heldBytes;
        limits.connections = AdminServer::s_connections;
        return limits;
    }

}

class AdminServer::Implementation {
public:
    Implementation(boost::asio::io_context& context, DeferredHandler chosenHandler)
        : handler(std::move(chosenHandler))
        , listener(std::make_shared<Detail::Listener>(context, limits, dialect, Detail::ServerSession::Handlers { [this](const auto& exchange) { handle(exchange); }, nullptr, nullptr, nullptr },
              std::make_shared<Detail::RequestMemory>(limits.heldBytes)))
    {
    }

    void handle(const Detail::ServerExchange::Pointer& exchange)
    {
        const auto& request = exchange->request();
        const std::string_view target = request.target();
        const AdminRequest asked { std::string { request.method_string() }, std::string { target.substr(0, target.find('?')) }, request.body().text() };
        handler(asked, [exchange](AdminResponse answer) {
            Detail::Response response { static_cast<Detail::http::status>(answer.status), 11 };
            response.set(Detail::http::field::content_type, answer.contentType);
            response.body() = std::move(answer.body);
            exchange->respond(std::move(response));
        });
    }

    GatewayLimits limits = adminLimits();
    Dialect dialect;
    DeferredHandler handler;
    std::shared_ptr<Detail::Listener> listener;
};

AdminServer::AdminServer(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

AdminServer::~AdminServer() = default;
AdminServer::AdminServer(AdminServer&&) noexcept = default;

Result<AdminServer> AdminServer::listen(boost::asio::io_context& context, const Endpoint& endpoint, Handler handler)
{
    return listenDeferred(context, endpoint, [handler = std::move(handler)](const AdminRequest& request, const Reply& reply) { reply(handler(request)); });
}

Result<AdminServer> AdminServer::listenDeferred(boost::asio::io_context& context, const Endpoint& endpoint, DeferredHandler handler)
{
    auto implementation = std::make_unique<Implementation>(context, std::move(handler));
    if (const auto ec = implementation->listener->listen(endpoint))
        return boost::leaf::new_error(ListenFailure { endpoint, ec.value() });
    return AdminServer { std::move(implementation) };
}

Endpoint AdminServer::endpoint() const { return m_implementation->listener->endpoint(); }

void AdminServer::stop()
{
    m_implementation->listener->stopAccepting();
    m_implementation->listener->closeIdle();
}

}
