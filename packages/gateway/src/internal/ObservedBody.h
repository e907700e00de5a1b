#pragma once

#include "internal/BodySource.h"

#include <functional>
#include <memory>

namespace carobpath::gateway::Detail {

/// Reports the pieces of another source's body as they are read.
class ObservedBody : public BodySource, public std::enable_shared_from_this<ObservedBody> {
public:
    using OnPiece = std::function<void(std::size_t bytes)>;

    ObservedBody(std::shared_ptr<BodySource> source, OnPiece onPiece)
        : m_source(std::move(source))
        , m_onPiece(std::move(onPiece))
    {
    }

    std::optional<std::uint64_t> contentLength() const override { return m_source->contentLength(); }
    bool bodyIsDone() const override { return m_source->bodyIsDone(); }
    bool hasBufferedBody() const override { return m_source->hasBufferedBody(); }
    void readBody(BodyHandler handler) override
    {
        m_source->readBody([self = shared_from_this(), handler = std::move(handler)](std::optional<ExchangeFailure> failure, std::string_view piece) {
            self->m_onPiece(piece.size());
            handler(failure, piece);
        });
    }
    void discard() override { m_source->discard(); }
    void cancel() override { m_source->cancel(); }
    bool failed() const override { return m_source->failed(); }

private:
    std::shared_ptr<BodySource> m_source;
    OnPiece m_onPiece;
};

}
