#include "carobpath/foundation/Log.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

using namespace carobpath;

namespace {

/// Collects what the process writes to standard error while it lives.
class StandardErrorCapture {
public:
    StandardErrorCapture()
        : m_file(std::tmpfile())
        , m_saved(::dup(STDERR_FILENO))
    {
        ::dup2(::fileno(m_file), STDERR_FILENO);
    }
    ~StandardErrorCapture()
    {
        ::dup2(m_saved, STDERR_FILENO);
        ::close(m_saved);
        std::fclose(m_file);
    }
    StandardErrorCapture(const StandardErrorCapture&) = delete;
    StandardErrorCapture& operator=(const StandardErrorCapture&) = delete;

    std::string text() const
    {
        std::fflush(stderr);
        std::string buf(std::size_t { 64 } * 1024, '\0');
        buf.resize(static_cast<std::size_t>(std::max<ssize_t>(0, ::pread(::fileno(m_file), buf.data(), buf.size(), 0))));
        return buf;
    }

private:
    std::FILE* m_file;
    int m_saved;
};

}

BOOST_AUTO_TEST_SUITE(Log)

BOOST_AUTO_TEST_CASE(A_line_is_JSON_with_its_level_logger_and_node_and_lower_levels_are_left_out)
{
    const StandardErrorCapture capture;
    startLogging({ LogLevel::Info, "booking-1" });
    const Logger logger("gateway");
    logger.debug("left out");
    logger.warn("a \"quoted\"\nmessage");
    const auto line = nlohmann::json::parse(capture.text());
    BOOST_TEST(line["level"] == "WARN");
    BOOST_TEST(line["logger"] == "gateway");
    BOOST_TEST(line["message"] == "a \"quoted\"\nmessage");
    BOOST_TEST(line["context_map"]["node"] == "booking-1");
    BOOST_TEST(!logger.isEnabled(LogLevel::Debug));
}

BOOST_AUTO_TEST_SUITE_END()
