#include "internal/BodyRelay.h"

#include "internal/SocketOptions.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace carobpath::gateway::Detail {

BodyRelay::BodyRelay(boost::beast::tcp_stream& stream, const GatewayLimits& limits, std::shared_ptr<BodySource> source, LinkUse link)
    : m_stream(stream)
    , m_limits(limits)
    , m_source(std::move(source))
    , m_link(link)
{
}

void BodyRelay::start(ResponseHeader header, RelayFraming framing, Done done)
{
    m_done = std::move(done);
    if (m_link.gate && m_link.isPaced && !framing.headerOnly)
        m_pacedBody = m_link.gate->begin(m_link.objective, [this] { return unacknowledgedBytes(m_stream.socket()); });
    static_cast<ResponseHeader&>(m_message) = std::move(header);
    m_message.version(framing.mayChunk ? 11 : 10);
    m_message.body().data = nullptr;
    m_message.body().more = true;
    if (!framing.headerOnly) {
        const auto length = m_source->contentLength();
        m_message.erase(http::field::transfer_encoding);
        if (length)
            m_message.content_length(*length);
        else if (framing.mayChunk)
            m_message.chunked(true);
    }
    m_message.keep_alive(framing.keepAlive);
    m_serializer.emplace(m_message);
    m_stream.expires_after(m_limits.callerIdle);
    // A short answer goes out in one write, so that its reader wakes once.
    if (framing.headerOnly)
        writeHeaderOnly();
    else if (m_source->hasBufferedBody())
        readPiece();
    else
        writeHeader();
}

void BodyRelay::writeHeaderOnly()
{
    http::async_write_header(m_stream, *m_serializer, [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        const bool written = !self->isBroken(ec, n);
        if (written)
            self->m_source->discard();
        self->finish(written ? AnswerEnd::Whole : AnswerEnd::CutByReceiver);
    });
}

void BodyRelay::writeHeader()
{
    http::async_write_header(m_stream, *m_serializer, [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        if (self->isBroken(ec, n)) {
            self->finish(AnswerEnd::CutByReceiver);
            return;
        }
        self->readPiece();
    });
}

void BodyRelay::readPiece()
{
    m_source->readBody([self = shared_from_this()](std::optional<ExchangeFailure> failure, std::string_view piece) {
        if (failure) {
            self->finish(AnswerEnd::CutByUpstream);
            return;
        }
        self->m_rest = piece;
        if (piece.empty())
            self->writeEnd();
        else
            self->writeRest();
    });
}

void BodyRelay::writeRest()
{
    if (!m_pacedBody) {
        writePart(m_rest.size());
        return;
    }
    const auto bytes = std::min(m_rest.size(), m_link.gate->pieceBytes());
    m_link.gate->awaitTurn(*m_pacedBody, bytes, [self = shared_from_this(), bytes] { self->writePart(bytes); });
}

void BodyRelay::writePart(std::size_t bytes)
{
    m_message.body().data = const_cast<char*>(m_rest.data());
    m_message.body().size = bytes;
    m_rest.remove_prefix(bytes);
    const bool last = m_rest.empty() && m_source->bodyIsDone();
    m_message.body().more = !last;
    m_stream.expires_after(m_limits.callerIdle);
    http::async_write(m_stream, *m_serializer, [self = shared_from_this(), last](boost::system::error_code ec, std::size_t n) {
        if (self->isBroken(ec, n))
            self->finish(AnswerEnd::CutByReceiver);
        else if (!self->m_rest.empty())
            self->writeRest();
        else
            self->onPieceWritten(last);
    });
}

bool BodyRelay::isBroken(boost::system::error_code ec, std::size_t written) const
{
    if (m_link.gate && !m_pacedBody)
        m_link.gate->onWritten(written);
    return ec && ec != http::error::need_buffer;
}

void BodyRelay::onPieceWritten(bool last)
{
    if (!last) {
        readPiece();
        return;
    }
    // Reading the end gives the connection back.
    m_source->readBody([self = shared_from_this()](std::optional<ExchangeFailure> failure, std::string_view) { self->finish(failure ? AnswerEnd::CutByUpstream : AnswerEnd::Whole); });
}

void BodyRelay::writeEnd()
{
    m_message.body().data = nullptr;
    m_message.body().size = 0;
    m_message.body().more = false;
    http::async_write(m_stream, *m_serializer,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) { self->finish(ec ? AnswerEnd::CutByReceiver : AnswerEnd::Whole); });
}

void BodyRelay::finish(AnswerEnd end)
{
    if (m_pacedBody)
        m_link.gate->end(*m_pacedBody);
    m_pacedBody.reset();
    if (end != AnswerEnd::Whole)
        m_source->cancel();
    if (auto done = std::exchange(m_done, nullptr))
        done(end);
}

}
