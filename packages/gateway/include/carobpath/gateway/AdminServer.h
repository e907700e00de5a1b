#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/gateway/GatewayLimits.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
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

    /// Body of one request, in bytes.
    static constexpr std::uint64_t s_bodyBytes = 64ULL * 1024;
    /// All requests that are read or handled, in bytes.
    static constexpr std::uint64_t s_heldBytes = 4ULL * 1024 * 1024;
    static constexpr std::uint32_t s_connections = 256;

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
