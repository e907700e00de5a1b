#pragma once

#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "internal/BodySource.h"
#include "internal/HttpTypes.h"
#include "internal/LinkGate.h"

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
/// one is written, so that a slow caller slows the upstream and no body is held whole. Pieces of a paced body wait for their
/// turn on the instance's link, in parts that take little of its time.
class BodyRelay : public std::enable_shared_from_this<BodyRelay> {
public:
    /// Called once.
    using Done = std::function<void(AnswerEnd)>;

    BodyRelay(boost::beast::tcp_stream&, const GatewayLimits&, std::shared_ptr<BodySource>, LinkUse = {});

    /// The stream must outlive the call of \c done.
    void start(ResponseHeader, RelayFraming, Done);

private:
    void writeHeaderOnly();
    void writeHeader();
    void readPiece();
    /// Writes what is left of the piece, part by part.
    void writeRest();
    void writePart(std::size_t bytes);
    /// \returns whether this was an error that ends the answer.
    bool isBroken(boost::system::error_code, std::size_t written) const;
    void onPieceWritten(bool last);
    void writeEnd();
    void finish(AnswerEnd);

    boost::beast::tcp_stream& m_stream;
    const GatewayLimits& m_limits;
    std::shared_ptr<BodySource> m_source;
    LinkUse m_link;
    /// Unset where the body is not paced.
    std::optional<LinkGate::BodyId> m_pacedBody;
    std::string_view m_rest;
    http::response<http::buffer_body> m_message;
    std::optional<http::response_serializer<http::buffer_body>> m_serializer;
    Done m_done;
};

}
