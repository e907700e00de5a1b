#include "internal/RequestReader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <string_view>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    constexpr std::size_t headerReadBytes = 4096;
    constexpr std::size_t bodyReadBytes = 16ULL * 1024;
    /// Bytes that count as progress of a request.
    constexpr std::uint64_t progressStep = 4096;
    /// What a field takes besides its text.
    constexpr std::uint64_t fieldOverheadBytes = 64;
    /// Arrival times that are kept; later bytes get the time of the last of them.
    constexpr std::size_t maximumArrivals = 64;

    routing::RefusalReason refusalReason(boost::system::error_code ec)
    {
        if (ec == http::error::header_limit)
            return routing::RefusalReason::HeaderTooLarge;
        const bool isTooLarge = ec == http::error::body_limit || ec == http::error::buffer_overflow;
        return isTooLarge ? routing::RefusalReason::RequestTooLarge : routing::RefusalReason::MalformedRequest;
    }

    /// \returns true where the end of the body cannot be known, so that its bytes could pass for another request
    /// (RFC 9112, section 6.3).
    bool hasUnknownLength(const Request& request)
    {
        const auto it = request.find(http::field::transfer_encoding);
        if (it == request.end())
            return false;
        const bool isChunkedOnly = boost::beast::iequals(it->value(), "chunked");
        return !isChunkedOnly || request.count(http::field::transfer_encoding) > 1 || request.version() < 11;
    }

    /// \returns whether the request has a body that its method forbids (RFC 9110, section 9.3.8). Such a request cannot be forwarded.
    bool hasForbiddenBody(const Request& request) { return request.method() == http::verb::trace && !request.body().empty(); }

}

RequestReader::RequestReader(const GatewayLimits& limits, BodyStore::Pointer store)
    : m_limits(limits)
    , m_store(std::move(store))
{
}

boost::asio::mutable_buffer RequestReader::prepare()
{
    const bool readsBody = m_parser && m_parser->is_header_done();
    const auto n = readsBody ? bodyReadBytes : headerReadBytes;
    if (m_space.size() != n)
        m_space = std::vector<char>(n);
    return boost::asio::buffer(m_space);
}

void RequestReader::commit(std::size_t n, MonotonicTime now)
{
    if (m_failed)
        return;
    const bool isFirst = !hasPartialRequest();
    m_buffer.commit(boost::asio::buffer_copy(m_buffer.prepare(n), boost::asio::buffer(m_space, n)));
    m_received += n;
    if (m_arrivals.size() < maximumArrivals)
        m_arrivals.push_back({ m_received, now });
    else
        m_arrivals.back().end = m_received;
    if (isFirst || m_received - m_progressMark >= progressStep)
        noteProgress(now);
}

void RequestReader::noteProgress(MonotonicTime now)
{
    m_progressAt = now;
    m_progressMark = m_received;
}

std::optional<ReadResult> RequestReader::next()
{
    if (m_failed || (!m_parser && !skipEmptyLines()))
        return std::nullopt;
    if (!m_parser) {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(m_limits.headerBytes);
        m_parser->body_limit(m_limits.bodyBytes);
        m_parser->get().body().holdIn(m_store);
    }
    const auto arrivedAt = partialRequestSince();
    boost::system::error_code ec;
    parse(ec);
    if (ec && ec != http::error::need_more)
        return fail(ec);
    if (ec || !m_parser->is_done()) {
        // All bytes so far belong to this request.
        m_arrivals.assign(1, { m_received, arrivedAt });
        noteHeader();
        return std::nullopt;
    }
    if (hasUnknownLength(m_parser->get()))
        return fail(http::error::bad_transfer_encoding);
    if (hasForbiddenBody(m_parser->get()))
        return fail(http::error::bad_method);
    ReadRequest request { m_parser->release(), arrivedAt };
    m_parser.reset();
    m_headerBytes = 0;
    forgetArrivals();
    if (m_buffer.size() == 0 && m_buffer.capacity() > headerReadBytes)
        m_buffer.shrink_to_fit();
    return request;
}

bool RequestReader::skipEmptyLines()
{
    constexpr std::string_view lineEnd = "\r\n";
    const auto bytes = m_buffer.data();
    std::string_view text { static_cast<const char*>(bytes.data()), bytes.size() };
    while (text.starts_with(lineEnd))
        text.remove_prefix(lineEnd.size());
    consume(m_buffer.size() - text.size());
    forgetArrivals();
    const bool mayBeEmptyLine = lineEnd.starts_with(text);
    return !mayBeEmptyLine;
}

void RequestReader::consume(std::size_t n)
{
    m_buffer.consume(n);
    m_parsed += n;
}

void RequestReader::parse(boost::system::error_code& ec)
{
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        consume(m_parser->put(m_buffer.data(), ec));
        if (ec)
            return;
    }
}

void RequestReader::forgetArrivals()
{
    while (!m_arrivals.empty() && m_arrivals.front().end <= m_parsed)
        m_arrivals.pop_front();
}

UnreadableRequest RequestReader::fail(boost::system::error_code ec)
{
    return giveUp(refusalReason(ec));
}

UnreadableRequest RequestReader::giveUp(routing::RefusalReason reason)
{
    const auto since = partialRequestSince();
    clear();
    return { reason, since };
}

void RequestReader::clear()
{
    m_failed = true;
    m_parser.reset();
    m_headerBytes = 0;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

std::uint64_t RequestReader::heldBytes() const
{
    return overheadBytes() + (m_parser ? m_parser->get().body().size() : 0);
}

void RequestReader::noteHeader()
{
    if (m_headerBytes > 0 || !m_parser->is_header_done())
        return;
    for (const auto& it : m_parser->get())
        m_headerBytes += it.name_string().size() + it.value().size() + fieldOverheadBytes;
}

}
