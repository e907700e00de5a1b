#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/gateway/GatewayLimits.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace carobpath::gateway {

/// A request to the admin address. The target is the path without the query.
struct AdminRequest {
    std::string method;
    std::string target;
    std::string body;
};

/// Its answer, written whole.
struct AdminResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// A small HTTP server for operators, metrics and announcements, on an address of its own.
class AdminServer {
public:
    using Handler = std::function<AdminResponse(const AdminRequest&)>;
    /// To be called once.
    using Reply = std::function<void(AdminResponse)>;
    using DeferredHandler = std::function<void(const AdminRequest&, Reply)>;

    /// Listens at once. Fails with \c ListenFailure.
    static Result<AdminServer> listen(boost::asio::io_context&, const Endpoint&, Handler);
    /// The same, with a handler that may answer later.
    static Result<AdminServer> listenDeferred(boost::asio::io_context&, const Endpoint&, DeferredHandler);

    ~AdminServer();
    AdminServer(AdminServer&&) noexcept;

    Endpoint endpoint() const;
    void stop();

private:
    class Implementation;
    explicit AdminServer(std::unique_ptr<Implementation>);

    std::unique_ptr<Implementation> m_implementation;
};

}
