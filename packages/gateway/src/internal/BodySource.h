#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carobpath::gateway::Detail {

/// How an exchange with another process failed.
enum class ExchangeFailure : std::uint8_t {
    /// No connection; no byte was sent.
    ConnectFailed,
    /// The connection broke, or the answer was cut short or made no sense.
    ConnectionLost,
    /// Nothing came for longer than the silence limit, while the deadline has not passed.
    Silent,
    /// The deadline passed.
    TimedOut,
    /// The answer names another request, or its status is none of HTTP.
    Mismatched,
    Cancelled,
};

/// Where the body of an answer comes from, piece by piece.
class BodySource {
public:
    /// Called for each piece of the body; an empty piece is the end.
    using BodyHandler = std::function<void(std::optional<ExchangeFailure>, std::string_view piece)>;

    virtual ~BodySource() = default;

    virtual std::optional<std::uint64_t> contentLength() const = 0;
    /// True where no further piece comes, be it that the answer has no body by its nature.
    virtual bool bodyIsDone() const = 0;
    /// True where the next piece is here already, so that reading it does not wait.
    virtual bool hasBufferedBody() const = 0;
    /// Reads the next piece of the body; it stays valid until the next call.
    virtual void readBody(BodyHandler) = 0;
    /// Gives up on the body; a short rest is read so that the connection can be used again.
    virtual void discard() = 0;
    /// Closes the connection; a handler that waits is called with \c Cancelled.
    virtual void cancel() = 0;
    /// True where the other end broke the exchange off, false where it was complete or cancelled.
    virtual bool failed() const = 0;
};

}
