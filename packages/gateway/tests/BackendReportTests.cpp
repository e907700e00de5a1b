#include "internal/ForwardedHeader.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::gateway::Detail {

namespace {

    struct Answer {
        Dialect dialect;
        ResponseHeader header;

        Answer()
        {
            dialect.backendRateLimit = "Calls-Per-Second";
            dialect.backendLeaving = "Leaving";
        }

        routing::BackendReport withLimit(const std::string& text)
        {
            header.set("Calls-Per-Second", text);
            return backendReportOf(header, dialect);
        }
    };

}

BOOST_FIXTURE_TEST_SUITE(Reports_in_answers, Answer)

BOOST_AUTO_TEST_CASE(An_answer_without_the_fields_reports_nothing)
{
    BOOST_TEST((backendReportOf(header, dialect) == routing::BackendReport {}));
}

BOOST_AUTO_TEST_CASE(A_limit_is_a_decimal_number)
{
    BOOST_TEST(withLimit("8").callsPerSecond.value() == 8);
    BOOST_TEST(withLimit("0.25").callsPerSecond.value() == 0.25);
    BOOST_TEST(withLimit("0").callsPerSecond.value() == 0);
}

BOOST_AUTO_TEST_CASE(A_limit_that_is_no_number_from_0_up_is_unreadable_and_no_limit)
{
    for (const auto* text : { "", "many", "-1", "8,5", "1e3", "nan", "inf", "8 per second", "0x10" }) {
        const auto report = withLimit(text);
        BOOST_TEST(report.isLimitUnreadable, text);
        BOOST_TEST(!report.callsPerSecond, text);
    }
}

BOOST_AUTO_TEST_CASE(A_server_that_leaves_says_1)
{
    header.set("Leaving", "1");
    BOOST_TEST(backendReportOf(header, dialect).isLeaving);
    header.set("Leaving", "0");
    BOOST_TEST(!backendReportOf(header, dialect).isLeaving);
}

BOOST_AUTO_TEST_CASE(A_dialect_without_the_field_takes_no_server_for_leaving)
{
    dialect.backendLeaving.clear();
    header.set("Leaving", "1");
    BOOST_TEST(!backendReportOf(header, dialect).isLeaving);
}

BOOST_AUTO_TEST_CASE(A_refusal_may_say_when_to_come_back_in_seconds_or_in_the_projects_own_field)
{
    BOOST_TEST(!retryAfterOf(header));
    header.set(http::field::retry_after, "0.25");
    BOOST_TEST((retryAfterOf(header).value() == std::chrono::milliseconds { 250 }));
    header.set(HeaderName::retryAfterMs, "40");
    BOOST_TEST((retryAfterOf(header).value() == std::chrono::milliseconds { 40 }));
}

BOOST_AUTO_TEST_CASE(A_time_to_come_back_that_is_no_number_of_seconds_is_not_read)
{
    for (const auto* text : { "", "Wed, 21 Oct 2026 07:28:00 GMT", "-1", "soon", "1000000000" }) {
        header.set(http::field::retry_after, text);
        BOOST_TEST(!retryAfterOf(header), text);
    }
}

BOOST_AUTO_TEST_CASE(The_load_that_a_node_sends_is_the_load_that_the_other_node_reads)
{
    const routing::UpstreamLoad unlimited { 3, 6, std::chrono::microseconds { 2500 }, {} };
    const routing::UpstreamLoad limited { 3, 6, std::chrono::microseconds { 2500 }, routing::NamedRate { 1.5, std::chrono::milliseconds { 700 } } };
    for (const auto& it : { unlimited, limited }) {
        ResponseHeader answer;
        setLoad(answer, it);
        BOOST_TEST((loadOf(answer).value() == it));
    }
}

BOOST_AUTO_TEST_CASE(A_rate_in_the_answer_of_a_backend_server_is_not_taken_for_that_of_its_node)
{
    header.set(HeaderName::rate, "0.5/5000");
    setLoad(header, { 3, 6, std::chrono::microseconds { 2500 }, {} });
    BOOST_TEST(!loadOf(header).value().rate);
}

BOOST_AUTO_TEST_CASE(A_rate_that_is_not_readable_leaves_the_rest_of_the_load)
{
    setLoad(header, { 3, 6, std::chrono::microseconds { 2500 }, {} });
    for (const auto* text : { "fast", "2", "2/soon", "-2/5", "2/-5" }) {
        header.set(HeaderName::rate, text);
        BOOST_TEST(loadOf(header).value().limit == 6U);
        BOOST_TEST(!loadOf(header).value().rate, text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
