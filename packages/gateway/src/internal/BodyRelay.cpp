#include "internal/BodyRelay.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace carobpath::gateway::Detail {

BodyRelay::BodyRelay(boost::beast::tcp_stream& stream, const GatewayLimits& limits, std::shared_ptr<BodySource> source)
    : m_stream(stream)
    , m_limits(limits)
    , m_source(std::move(source))
{
}

void BodyRelay::start(ResponseHeader header, RelayFraming framing, Done done)
{
    m_done = std::move(done);
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
    http::async_write_header(m_stream, *m_serializer, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        const bool written = !ec || ec == http::error::need_buffer;
        if (written)
            self->m_source->discard();
        self->finish(written ? AnswerEnd::Whole : AnswerEnd::CutByReceiver);
    });
}

void BodyRelay::writeHeader()
{
    http::async_write_header(m_stream, *m_serializer, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        if (ec && ec != http::error::need_buffer) {
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
        if (piece.empty())
            self->writeEnd();
        else
            self->writePiece(piece);
    });
}

void BodyRelay::writePiece(std::string_view piece)
{
    m_message.body().data = const_cast<char*>(piece.data());
    m_message.body().size = piece.size();
    const bool last = m_source->bodyIsDone();
    m_message.body().more = !last;
    m_stream.expires_after(m_limits.callerIdle);
    http::async_write(m_stream, *m_serializer, [self = shared_from_this(), last](boost::system::error_code ec, std::size_t) {
        if (ec && ec != http::error::need_buffer)
            self->finish(AnswerEnd::CutByReceiver);
        else
            self->onPieceWritten(last);
    });
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
    if (end != AnswerEnd::Whole)
        m_source->cancel();
    if (auto done = std::exchange(m_done, nullptr))
        done(end);
}

}
