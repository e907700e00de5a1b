#include "CrowdScripts.h"

#include "Objects.h"

namespace carobpath::harness::crowds {

namespace {

    bool isWhole(std::size_t caller) { return caller % wholeEvery == 0; }

}

std::string post(const std::string& framing)
{
    return "POST /booking HTTP/1.1\r\nHost: " + std::string(objects::bookingHost) + "\r\n" + framing + "\r\n\r\n";
}

CrowdScript stated(std::size_t caller, std::size_t bodyBytes, std::size_t pieceBytes)
{
    CrowdScript it;
    it.start = post("Content-Length: " + std::to_string(bodyBytes));
    it.pattern = std::string(kibibyte, 'b');
    it.repeats = bodyBytes / kibibyte - 1;
    it.end = std::string(isWhole(caller) ? kibibyte : kibibyte - 1, 'b');
    it.pieceBytes = pieceBytes;
    return it;
}

CrowdScript chunked(std::size_t caller, const std::string& sizeLine, std::size_t chunkBytes, std::size_t bodyBytes)
{
    CrowdScript it;
    it.start = post("Transfer-Encoding: chunked");
    it.pattern = sizeLine + "\r\n" + std::string(chunkBytes, 'c') + "\r\n";
    it.repeats = bodyBytes / chunkBytes;
    it.end = isWhole(caller) ? "0\r\n\r\n" : "0\r\n\r";
    return it;
}

}
