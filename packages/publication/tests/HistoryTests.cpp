#include "HistoryRun.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <sstream>

namespace carobpath::publication {

using namespace samples;

namespace {

    constexpr std::uint64_t seed = 20261203;

    /// Without it RapidCheck draws a seed of its own, and prints that one.
    struct FixedSeed {
        FixedSeed() { setenv("RC_PARAMS", ("seed=" + std::to_string(seed)).c_str(), 0); }
    };

    // RapidCheck scales a range by the size of the test; only the length of a history is to grow with it.
    rc::Gen<int> below(int end)
    {
        return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
    }

    rc::Gen<std::vector<Step>> histories()
    {
        return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
            rc::gen::set(&Step::action, below(13)), rc::gen::set(&Step::actor, below(3)),
            rc::gen::set(&Step::object, below(3)), rc::gen::set(&Step::lag, below(4))));
    }

    std::string violationOf(const std::vector<Step>& history, LeftOut leftOut)
    {
        Run run { leftOut };
        for (const auto& step : history)
            run.step(step);
        if (leftOut == LeftOut::Nothing)
            run.checkReaders();
        return run.violation();
    }

    /// \returns the report of the smallest history that breaks a promise, or nothing.
    std::optional<std::string> findViolation(LeftOut leftOut, int runs, int size)
    {
        rc::detail::TestParams params;
        params.seed = seed;
        params.maxSuccess = runs;
        params.maxSize = size;
        const auto property = [leftOut] {
            const auto history = *histories();
            RC_ASSERT(violationOf(history, leftOut) == "");
        };
        const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
        if (result.template is<rc::detail::SuccessResult>())
            return std::nullopt;
        std::ostringstream out;
        rc::detail::printResultMessage(result, out);
        return out.str();
    }

}

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

BOOST_AUTO_TEST_SUITE(Histories)

BOOST_AUTO_TEST_CASE(No_history_of_rival_operators_and_repeated_records_breaks_a_promise)
{
    BOOST_TEST_MESSAGE("seed " << seed);
    const auto violation = findViolation(LeftOut::Nothing, 100, 60);
    BOOST_TEST(!violation, "seed " << seed << ": " << violation.value_or(""));
}

BOOST_AUTO_TEST_CASE(The_checks_notice_each_mechanism_that_is_left_out)
{
    struct Row {
        LeftOut leftOut;
        const char* violation;
    };
    const std::vector<Row> rows {
        { LeftOut::RecordIds, "an id took effect twice" },
        { LeftOut::Bases, "a change that the author had not seen was overwritten" },
        { LeftOut::Owners, "a member changed another's object" },
        { LeftOut::FirstVerdictWins, "a verdict was overwritten" },
    };
    for (const auto& row : rows) {
        const auto report = findViolation(row.leftOut, 300, 60);
        BOOST_REQUIRE_MESSAGE(report, "not noticed: " << row.violation);
        BOOST_TEST(report->find(row.violation) != std::string::npos, *report);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
