#pragma once

#include "Conversions.h"

#include <boost/leaf/handle_errors.hpp>

#include <capnp/message.h>

#include <variant>

namespace carobpath::peer {

/// Bytes that one message may have, and words that its reading may touch.
inline constexpr std::uint64_t maxMessageBytes = 8ULL * 1024 * 1024;

inline capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
    options.nestingLimit = 16;
    return options;
}

/// \returns the typed message, or why it was refused.
template <typename Message, typename Reader>
std::variant<Message, MessageError> readMessage(Reader reader)
{
    using Outcome = std::variant<Message, MessageError>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            BOOST_LEAF_AUTO(message, read(reader));
            return Outcome { std::move(message) };
        },
        [](const MessageError& error) { return Outcome { error }; },
        [] { return Outcome { MessageError { MessageFault::BadEntry } }; });
}

}
