#pragma once

#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "internal/BodySource.h"
#include "internal/HttpTypes.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carobpath::gateway::Detail {

/// How the answer is written to the connection that asked.
struct RelayFraming {
    bool keepAlive = true;
    /// False for callers of HTTP/1.0, which know no chunks.
    bool mayChunk = true;
    /// True where the answer has no body by its nature (HEAD, 204, 304).
    bool headerOnly = false;
};

/// Writes the answer of a body's source to a connection, one piece at a time: the next piece is read only when the last
/// one is written, so that a slow caller slows the upstream and no body is held whole.
class BodyRelay : public std::enable_shared_from_this<BodyRelay> {
public:
    /// Called once.
    using Done = std::function<void(AnswerEnd)>;

    BodyRelay(boost::beast::tcp_stream&, const GatewayLimits&, std::shared_ptr<BodySource>);

    /// The stream must outlive the call of \c done.
    void start(ResponseHeader, RelayFraming, Done);

private:
    void writeHeaderOnly();
    void writeHeader();
    void readPiece();
    void writePiece(std::string_view);
    void onPieceWritten(bool last);
    void writeEnd();
    void finish(AnswerEnd);

    boost::beast::tcp_stream& m_stream;
    const GatewayLimits& m_limits;
    std::shared_ptr<BodySource> m_source;
    http::response<http::buffer_body> m_message;
    std::optional<http::response_serializer<http::buffer_body>> m_serializer;
    Done m_done;
};

}
