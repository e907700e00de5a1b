#include "internal/ResumingBody.h"

#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    bool isStrong(std::string_view tag)
    {
        return tag.size() >= 2 && tag.front() == '"' && tag.back() == '"';
    }

    std::string contentRange(std::uint64_t from, std::uint64_t length)
    {
        return "bytes " + std::to_string(from) + "-" + std::to_string(length - 1) + "/" + std::to_string(length);
    }

}

std::optional<ResumableBody> resumableBodyOf(const UpstreamExchange& exchange)
{
    const auto& header = exchange.header();
    const auto length = exchange.contentLength();
    const std::string_view tag = header[http::field::etag];
    if (header.result() != http::status::ok || !length || *length == 0 || !isStrong(tag))
        return std::nullopt;
    return ResumableBody { std::string { tag }, *length };
}

bool isRestOf(const ResumableBody& body, std::uint64_t from, const ResponseHeader& header)
{
    return header.result() == http::status::partial_content && header[http::field::etag] == body.entityTag
        && header[http::field::content_range] == contentRange(from, body.length);
}

ResumingBody::ResumingBody(ExchangePointer exchange, ResumableBody body, AskRest askRest)
    : m_exchange(std::move(exchange))
    , m_body(std::move(body))
    , m_askRest(std::move(askRest))
{
}

void ResumingBody::readBody(BodyHandler handler)
{
    m_exchange->readBody([self = shared_from_this(), handler = std::move(handler)](std::optional<ExchangeFailure> failure, std::string_view piece) {
        self->onPiece(failure, piece, handler);
    });
}

void ResumingBody::onPiece(std::optional<ExchangeFailure> failure, std::string_view piece, const BodyHandler& handler)
{
    if (!failure) {
        m_delivered += piece.size();
        handler(std::nullopt, piece);
        return;
    }
    if (m_cancelled || m_delivered >= m_body.length) {
        handler(failure, {});
        return;
    }
    m_askRest(m_body, m_delivered, [self = shared_from_this(), failure, handler](ExchangePointer rest) { self->onRest(std::move(rest), *failure, handler); });
}

void ResumingBody::onRest(ExchangePointer rest, ExchangeFailure failure, const BodyHandler& handler)
{
    if (!rest) {
        handler(failure, {});
        return;
    }
    m_exchange = std::move(rest);
    if (m_cancelled) {
        m_exchange->cancel();
        handler(ExchangeFailure::Cancelled, {});
        return;
    }
    readBody(handler);
}

void ResumingBody::cancel()
{
    m_cancelled = true;
    m_exchange->cancel();
}

}
