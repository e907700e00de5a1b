#include "carobpath/foundation/SettingParsers.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath;
using namespace std::chrono_literals;

namespace {

template <typename T>
std::string outcome(const Parsed<T>& parsed)
{
    const auto* problem = std::get_if<SettingProblem>(&parsed);
    return problem ? std::string(toString(problem->kind)) : "accepted";
}

struct Row {
    std::string text;
    std::string outcome;
};

}

BOOST_AUTO_TEST_SUITE(Setting_parsers)

BOOST_AUTO_TEST_CASE(A_duration_needs_a_number_a_unit_and_its_bounds)
{
    const std::vector<Row> rows {
        { "250ms", "accepted" },
        { "5s", "accepted" },
        { "1h", "accepted" },
        { "5", "bad-duration" },
        { "1.5s", "accepted" },
        { "1.5.5s", "bad-duration" },
        { "1.s", "bad-duration" },
        { "1.1234567s", "bad-duration" },
        { "0.009s", "out-of-bounds" },
        { "-1s", "bad-duration" },
        { "5 s", "bad-duration" },
        { "", "bad-duration" },
        { "99999999999999999h", "bad-duration" },
        { "9ms", "out-of-bounds" },
        { "61m", "out-of-bounds" },
    };
    for (const auto& row : rows)
        BOOST_TEST(outcome(parseDuration(row.text, { 10ms, 1h })) == row.outcome, row.text);
    BOOST_TEST((std::get<std::chrono::microseconds>(parseDuration("250ms", { 10ms, 1h })) == 250ms));
    BOOST_TEST((std::get<std::chrono::microseconds>(parseDuration("2.05s", { 10ms, 1h })) == 2050ms));
}

BOOST_AUTO_TEST_CASE(An_endpoint_is_an_IP_number_and_a_port)
{
    const std::vector<Row> rows {
        { "10.0.0.7:8080", "accepted" },
        { "[::1]:0", "accepted" },
        { "localhost:80", "bad-endpoint" },
        { "10.0.0.7", "bad-endpoint" },
        { "10.0.0.7:", "bad-endpoint" },
        { "10.0.0.7:65536", "bad-endpoint" },
        { "10.0.0.7:-1", "bad-endpoint" },
        { "10.0.0:80", "bad-endpoint" },
        { "::1:80", "bad-endpoint" },
        { "[10.0.0.7]:80", "bad-endpoint" },
        { ":80", "bad-endpoint" },
    };
    for (const auto& row : rows)
        BOOST_TEST(outcome(parseEndpoint(row.text)) == row.outcome, row.text);
}

BOOST_AUTO_TEST_CASE(A_name_is_lower_case_letters_digits_and_inner_dashes)
{
    const std::vector<Row> rows {
        { "amman-a", "accepted" },
        { "4", "accepted" },
        { std::string(63, 'a'), "accepted" },
        { std::string(64, 'a'), "bad-name" },
        { "", "bad-name" },
        { "-a", "bad-name" },
        { "a-", "bad-name" },
        { "Amman", "bad-name" },
        { "a/b", "bad-name" },
        { "a b", "bad-name" },
    };
    for (const auto& row : rows)
        BOOST_TEST(outcome(parseName(row.text)) == row.outcome, row.text);
}

BOOST_AUTO_TEST_CASE(Sizes_integers_and_keys_are_checked)
{
    BOOST_TEST(std::get<std::uint64_t>(parseSize("64KiB", { 0, 1 << 20 })) == 65536U);
    BOOST_TEST(outcome(parseSize("64kb", { 0, 1 << 20 })) == "bad-size");
    BOOST_TEST(outcome(parseSize("2MiB", { 0, 1 << 20 })) == "out-of-bounds");
    BOOST_TEST(outcome(parseInteger("12x", { 0, 100 })) == "bad-integer");
    BOOST_TEST(outcome(parseInteger("101", { 0, 100 })) == "out-of-bounds");
    BOOST_TEST(std::get<HexKey>(parseHexKey(std::string(64, 'A'))).digits == std::string(64, 'a'));
    BOOST_TEST(outcome(parseHexKey(std::string(63, 'a'))) == "bad-key");
    BOOST_TEST(outcome(parseHexKey(std::string(64, 'g'))) == "bad-key");
    BOOST_TEST(outcome(parseLogLevel("loud")) == "bad-choice");
}

BOOST_AUTO_TEST_CASE(The_shortest_text_of_a_value_is_parsed_to_the_same_value)
{
    BOOST_TEST(durationText(90s) == "90s");
    BOOST_TEST(durationText(2min) == "2m");
    BOOST_TEST(durationText(0s) == "0us");
    BOOST_TEST(sizeText(1536) == "1536");
    BOOST_TEST(sizeText(65536) == "64KiB");
}

BOOST_AUTO_TEST_SUITE_END()
