#pragma once

#include "internal/BodySource.h"
#include "internal/UpstreamExchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace carobpath::gateway::Detail {

/// What is known of a whole body, so that its rest can be asked for elsewhere.
struct ResumableBody {
    /// A strong entity tag (RFC 9110, section 8.8.3): bodies with the same tag are the same byte for byte.
    std::string entityTag;
    std::uint64_t length = 0;
};

/// \returns what a resume needs; empty where the answer has no strong entity tag or no length, or is no whole body.
std::optional<ResumableBody> resumableBodyOf(const UpstreamExchange&);

/// \returns whether the answer of the exchange is the rest of the body from the offset on.
bool isRestOf(const ResumableBody&, std::uint64_t from, const ResponseHeader&);

/// The body of an answer that goes on with the rest from elsewhere where its connection breaks.
class ResumingBody : public BodySource, public std::enable_shared_from_this<ResumingBody> {
public:
    using ExchangePointer = std::shared_ptr<UpstreamExchange>;
    /// Asks for the rest; hands over an exchange whose answer is it, or null.
    using AskRest = std::function<void(const ResumableBody&, std::uint64_t from, std::function<void(ExchangePointer)>)>;

    ResumingBody(ExchangePointer, ResumableBody, AskRest);

    std::optional<std::uint64_t> contentLength() const override { return m_body.length; }
    bool bodyIsDone() const override { return m_exchange->bodyIsDone(); }
    bool hasBufferedBody() const override { return m_exchange->hasBufferedBody(); }
    void readBody(BodyHandler) override;
    void discard() override { m_exchange->discard(); }
    void cancel() override;
    bool failed() const override { return m_exchange->failed(); }

private:
    void onPiece(std::optional<ExchangeFailure>, std::string_view piece, const BodyHandler&);
    void onRest(ExchangePointer, ExchangeFailure, const BodyHandler&);

    ExchangePointer m_exchange;
    ResumableBody m_body;
    AskRest m_askRest;
    std::uint64_t m_delivered = 0;
    bool m_cancelled = false;
};

}
