#include "Report.h"

#include <array>
#include <charconv>

namespace carobpath::standins {

namespace {

    constexpr std::uint64_t prime = 1'099'511'628'211ULL;
    constexpr std::uint64_t blockBytes = 8;

    std::uint64_t seedOf(const std::string& path)
    {
        std::uint64_t seed = 14'695'981'039'346'656'037ULL;
        for (const unsigned char c : path)
            seed = (seed ^ c) * prime;
        return seed;
    }

    // Each block depends on its place, so that a shifted or repeated piece shows.
    std::uint64_t blockAt(std::uint64_t seed, std::uint64_t index)
    {
        std::uint64_t x = seed + index * 0x9e3779b97f4a7c15ULL;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
        return x ^ (x >> 31);
    }

    /// \returns the first byte that is asked for, or 0 for the whole.
    std::uint64_t rangeStart(const Request& request, const Report& report)
    {
        const auto condition = request[http::field::if_range];
        const std::string_view range = request[http::field::range];
        constexpr std::string_view unit = "bytes=";
        if (!range.starts_with(unit) || !range.ends_with('-'))
            return 0;
        if (!condition.empty() && condition != reportTag(report))
            return 0;
        std::uint64_t start = 0;
        const auto ec = std::from_chars(range.data() + unit.size(), range.data() + range.size(), start).ec;
        return ec == std::errc {} && start < report.bytes ? start : 0;
    }

}

std::string reportBytes(const std::string& path, std::uint64_t offset, std::size_t count)
{
    const auto seed = seedOf(path);
    std::string bytes(count, '\0');
    for (std::size_t i = 0; i < count; ++i) {
        const auto position = offset + i;
        const auto shift = 8 * (position % blockBytes);
        bytes[i] = static_cast<char>(blockAt(seed, position / blockBytes) >> shift & 0xff);
    }
    return bytes;
}

std::string reportTag(const Report& report)
{
    return "\"" + report.version + "-" + std::to_string(seedOf(report.path) % 1'000'000'007) + "-" + std::to_string(report.bytes) + "\"";
}

void sendReport(HttpSession& session, const Report& report, Response header, std::uint64_t bytesPerSecond)
{
    const auto start = rangeStart(session.request(), report);
    header.set(http::field::etag, reportTag(report));
    header.set(http::field::accept_ranges, "bytes");
    header.set(http::field::content_type, "application/octet-stream");
    if (start > 0) {
        header.result(http::status::partial_content);
        header.set(http::field::content_range, "bytes " + std::to_string(start) + "-" + std::to_string(report.bytes - 1) + "/" + std::to_string(report.bytes));
    }
    BodyStream stream;
    stream.bytes = report.bytes - start;
    if (bytesPerSecond > 0) {
        constexpr std::uint64_t piecesPerSecond = 50;
        stream.pieceBytes = std::max<std::uint64_t>(1, bytesPerSecond / piecesPerSecond);
        stream.pieceInterval = std::chrono::milliseconds(1000 / piecesPerSecond);
    }
    stream.piece = [path = report.path, start](std::uint64_t offset, std::size_t count) { return reportBytes(path, start + offset, count); };
    session.respond(std::move(header), std::move(stream));
}

}
