#include "Eventually.h"
#include "Standins.h"
#include "carobpath/platform/RecordFrames.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

CallerRequest get(const std::string& target)
{
    CallerRequest request;
    request.target = target;
    return request;
}

CallerRequest post(const std::string& target, const std::string& body)
{
    CallerRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return request;
}

const std::string appends = "/v1/log-append?topic=configuration&part=0";
const std::string reads = "/v1/log-read?topic=configuration&part=0";

CallerRequest append(const std::string& record, const std::string& more = {})
{
    return post(appends + more, carobpath::platform::frameOf(record));
}

std::string batch(std::uint64_t first, std::uint64_t end, std::vector<std::string> records)
{
    return carobpath::platform::batchText({ end, first, std::move(records) });
}

struct LogFixture {
    TemporaryDirectory directory;
    LogStandin log { directory };

    std::size_t kept()
    {
        return carobpath::platform::readFrames(call(log.endpoint(), get(reads + "&from=0")).body).value().records.size();
    }
};

struct BackendFixture {
    TemporaryDirectory directory;
};

}

BOOST_FIXTURE_TEST_SUITE(Log_standin, LogFixture)

BOOST_AUTO_TEST_CASE(Records_get_offsets_in_order_and_are_read_back)
{
    BOOST_TEST(call(log.endpoint(), append("one")).body == R"({"end-offset":1,"offset":0})");
    BOOST_TEST(call(log.endpoint(), append("two")).body == R"({"end-offset":2,"offset":1})");
    BOOST_TEST((call(log.endpoint(), get(reads + "&from=1")).body == batch(0, 2, { "two" })));
}

BOOST_AUTO_TEST_CASE(An_append_under_a_condition_is_done_only_where_the_topic_ends_there)
{
    BOOST_TEST(call(log.endpoint(), append("one", "&at=0")).status == 200U);
    const auto refused = call(log.endpoint(), append("two", "&at=0"));
    BOOST_TEST(refused.status == 412U);
    BOOST_TEST(refused.body == R"({"end-offset":1})");
}

BOOST_AUTO_TEST_CASE(A_producer_repeats_an_append_safely_and_is_fenced_by_a_later_epoch)
{
    BOOST_TEST(call(log.endpoint(), append("one", "&producer=w&epoch=1&seq=1")).status == 200U);
    BOOST_TEST(call(log.endpoint(), append("one", "&producer=w&epoch=1&seq=1")).body == R"({"end-offset":1,"offset":0})");
    BOOST_TEST(call(log.endpoint(), append("x", "&producer=w&epoch=1&seq=9")).body == R"({"seq":2,"why":"seq"})");
    BOOST_TEST(call(log.endpoint(), append("two", "&producer=w&epoch=2&seq=5")).status == 200U);
    BOOST_TEST(call(log.endpoint(), append("late", "&producer=w&epoch=1&seq=2")).body == R"({"why":"fenced"})");
    BOOST_TEST(kept() == 2U);
}

BOOST_AUTO_TEST_CASE(The_newest_record_of_each_key_is_listed_and_outlives_its_retention)
{
    const std::string keyed = "/v1/log-append?topic=keyed.op&part=0";
    for (const auto& [key, value] : std::vector<std::pair<std::string, std::string>> { { "a", "1" }, { "b", "2" }, { "a", "3" }, { "b", "" } })
        call(log.endpoint(), post(keyed, carobpath::platform::frameOf(carobpath::platform::keyedContent(key, value))));
    log.set(R"({"retentionMs": 1})");
    const auto listing = nlohmann::json::parse(call(log.endpoint(), get("/v1/log-newest?topic=keyed.op&part=0")).body);
    BOOST_TEST(listing["items"].size() == 1U);
    BOOST_TEST(listing["items"][0]["key"] == "a");
    BOOST_TEST(listing["items"][0]["value"] == "Mw==");
    BOOST_TEST(listing["end-offset"] == 4);
}

BOOST_AUTO_TEST_CASE(A_waiting_read_is_answered_by_the_append)
{
    auto reading = std::async(std::launch::async, [&] { return call(log.endpoint(), get(reads + "&from=0&wait-ms=30000")); });
    eventually("a read waits", [&] { return log.counts()["waiting"] == 1; });
    call(log.endpoint(), append("one"));
    BOOST_TEST((reading.get().body == batch(0, 1, { "one" })));
}

BOOST_AUTO_TEST_CASE(Records_past_their_retention_are_gone)
{
    log.set(R"({"retentionMs": 1})");
    call(log.endpoint(), append("one"));
    eventually("the record is trimmed", [&] { return call(log.endpoint(), get(reads + "&from=0")).status == 410; });
    BOOST_TEST(call(log.endpoint(), get(reads + "&from=0")).body == R"({"first-offset":1})");
}

BOOST_AUTO_TEST_CASE(An_append_whose_answer_is_lost_has_taken_effect)
{
    log.set(R"({"answerLostAfterWrite": 1})");
    BOOST_TEST(call(log.endpoint(), append("one")).status == 0U);
    BOOST_TEST(kept() == 1U);
    BOOST_TEST(call(log.endpoint(), append("two")).status == 200U);
}

BOOST_AUTO_TEST_CASE(Each_outage_refuses_what_it_names)
{
    struct Row {
        std::string switches;
        unsigned append;
        unsigned read;
    };
    const std::vector<Row> rows {
        { R"({"down": true})", 503, 503 },
        { R"({"down": false, "readsDown": true})", 200, 503 },
        { R"({"readsDown": false, "appendsDown": true})", 503, 200 },
        { R"({"appendsDown": false, "refusesAll": true})", 429, 429 },
        { R"({"refusesAll": false})", 200, 200 },
    };
    for (const auto& row : rows) {
        log.set(row.switches);
        BOOST_TEST(call(log.endpoint(), append("x")).status == row.append, row.switches);
        BOOST_TEST(call(log.endpoint(), get(reads + "&from=0")).status == row.read, row.switches);
    }
    BOOST_CHECK_THROW(log.set(R"({"unknown": true})"), std::runtime_error);
}

BOOST_AUTO_TEST_CASE(SIGTERM_ends_it_with_status_0)
{
    log.process().terminate();
    BOOST_TEST(log.process().waitForExit() == 0);
    log.process().waitForEvent("stopped");
}

BOOST_AUTO_TEST_CASE(The_store_that_comes_back_from_a_copy_gives_offsets_out_again_and_names_its_era)
{
    call(log.endpoint(), append("kept"));
    std::this_thread::sleep_for(1500ms);
    call(log.endpoint(), append("lost"));
    call(log.endpoint(), append("lost too"));
    log.set(R"({"comeBackFromCopyMs": 1000})");
    const auto beyond = call(log.endpoint(), get(reads + "&from=3"));
    BOOST_TEST(beyond.status == 410U);
    BOOST_TEST(beyond.header("store-era") == "2");
    BOOST_TEST(kept() == 1U);
    BOOST_TEST(call(log.endpoint(), append("again")).body.find(R"("offset":1)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(A_keyed_topic_that_comes_back_from_a_copy_shows_the_record_before_the_lost_one)
{
    const std::string keyed = "topic=keyed.op&part=0";
    const auto put = [&](const std::string& value) { call(log.endpoint(), post("/v1/log-append?" + keyed, carobpath::platform::frameOf(carobpath::platform::keyedContent("k", value)))); };
    put("one");
    std::this_thread::sleep_for(1500ms);
    put("two");
    log.set(R"({"comeBackFromCopyMs": 1000})");
    const auto listed = call(log.endpoint(), get("/v1/log-newest?" + keyed));
    BOOST_TEST(listed.body.find("b25l") != std::string::npos, listed.body);
    BOOST_TEST(listed.body.find(R"("end-offset":1)") != std::string::npos, listed.body);
    log.set(R"({"comeBackFromCopyMs": 60000})");
    BOOST_TEST(call(log.endpoint(), get("/v1/log-newest?" + keyed)).body.find(R"("items":[])") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Backend_standin, BackendFixture)

BOOST_AUTO_TEST_CASE(A_call_is_echoed_and_counted)
{
    BackendStandin backend(directory, {});
    auto request = post("/booking?call=7", "order");
    request.headers["Carobpath-Request-Id"] = "r-7";
    const auto answer = call(backend.endpoint(), request);
    BOOST_TEST(answer.header("carobpath-request-id") == "r-7");
    const auto body = nlohmann::json::parse(answer.body);
    BOOST_TEST(body["path"] == "/booking?call=7");
    BOOST_TEST(body["body"] == "order");
    BOOST_TEST(backend.runsOf("call=7") == 1U);
}

BOOST_AUTO_TEST_CASE(Calls_beyond_slots_and_waiting_places_are_refused_as_not_run)
{
    BackendOptions options;
    options.slots = 1;
    options.waiting = 0;
    BackendStandin backend(directory, options);
    backend.set(R"({"freeze": true})");
    auto held = std::async(std::launch::async, [&] {
        auto request = get("/first");
        request.timeout = 500ms;
        return call(backend.endpoint(), request);
    });
    backend.process().waitForEvent("executed");
    const auto refused = call(backend.endpoint(), get("/second"));
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(refused.outcome() == "not-run");
    BOOST_TEST(refused.reason() == "overloaded");
    BOOST_TEST(backend.runsOf("/second") == 0U);
    BOOST_TEST(held.get().status == 0U);
    backend.process().waitForEvent("cancelled");
}

BOOST_AUTO_TEST_CASE(SIGTERM_refuses_new_calls_and_ends_what_is_in_flight)
{
    BackendStandin backend(directory, {});
    auto download = std::async(std::launch::async, [&] { return call(backend.endpoint(), get("/reports/a?bytes=100000&rate=200000")); });
    backend.process().waitForEvent("executed");
    backend.process().terminate();
    backend.process().waitForEvent("draining");
    BOOST_TEST(call(backend.endpoint(), get("/late")).reason() == "draining");
    BOOST_TEST(download.get().body.size() == 100'000U);
    BOOST_TEST(backend.process().waitForExit() == 0);
}

BOOST_AUTO_TEST_CASE(A_marked_request_ends_the_process_at_once)
{
    BackendStandin backend(directory, {});
    BOOST_TEST(call(backend.endpoint(), get("/crash-mark")).status == 0U);
    BOOST_TEST(backend.process().waitForExit() == 134);
    BOOST_TEST(backend.runsOf("/crash-mark") == 1U);
}

BOOST_AUTO_TEST_CASE(Badness_shows_only_where_its_conditions_are_met)
{
    BackendStandin backend(directory, {});
    backend.set(R"({"failRate": 1, "badPathPrefix": "/booking"})");
    BOOST_TEST(call(backend.endpoint(), get("/booking")).status == 500U);
    BOOST_TEST(call(backend.endpoint(), get("/catalog")).status == 200U);
    backend.set(R"({"badAfterMs": 3600000})");
    BOOST_TEST(call(backend.endpoint(), get("/booking")).status == 200U);
    backend.set(R"({"badAfterMs": 0, "badAboveInFlight": 1})");
    BOOST_TEST(call(backend.endpoint(), get("/booking")).status == 200U);
}

BOOST_AUTO_TEST_CASE(A_short_answer_announces_more_than_it_brings)
{
    BackendStandin backend(directory, {});
    backend.set(R"({"shortAnswers": true})");
    const auto answer = call(backend.endpoint(), get("/catalog"));
    BOOST_TEST(answer.status == 0U);
    BOOST_TEST(answer.error == "partial message");
}

BOOST_AUTO_TEST_CASE(A_ranged_request_resumes_the_same_bytes_and_another_tag_starts_over)
{
    BackendStandin backend(directory, {});
    const auto whole = call(backend.endpoint(), get("/reports/a?bytes=5000"));
    auto rest = get("/reports/a?bytes=5000");
    rest.headers["Range"] = "bytes=4000-";
    rest.headers["If-Range"] = whole.header("etag");
    const auto tail = call(backend.endpoint(), rest);
    BOOST_TEST(tail.status == 206U);
    BOOST_TEST((tail.body == whole.body.substr(4000)));
    rest.headers["If-Range"] = "\"other\"";
    BOOST_TEST((call(backend.endpoint(), rest).body == whole.body));
}

BOOST_AUTO_TEST_CASE(Health_and_load_mislead_on_demand)
{
    BackendStandin backend(directory, {});
    BOOST_TEST(call(backend.endpoint(), get("/health")).status == 200U);
    backend.set(R"({"claimedHealth": false, "claimedInFlight": 40})");
    BOOST_TEST(call(backend.endpoint(), get("/health")).status == 503U);
    BOOST_TEST(call(backend.endpoint(), get("/load")).body == R"({"inFlight":40,"waiting":0})");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Relay_and_load, BackendFixture)

BOOST_AUTO_TEST_CASE(Open_connections_go_silent_while_new_ones_work)
{
    BackendStandin backend(directory, {});
    RelayStandin relay(directory, "backend", backend.endpoint());
    auto slow = std::async(std::launch::async, [&] {
        auto request = get("/reports/a?bytes=100000&rate=50000");
        request.timeout = 1s;
        return call(relay.endpoint(), request);
    });
    backend.process().waitForEvent("executed");
    relay.set(R"({"silenceOpen": true})");
    BOOST_TEST(call(relay.endpoint(), get("/catalog")).status == 200U);
    BOOST_TEST(slow.get().status == 0U);
}

BOOST_AUTO_TEST_CASE(A_cut_ends_open_connections_and_a_refusal_ends_new_ones)
{
    BackendStandin backend(directory, {});
    RelayStandin relay(directory, "backend", backend.endpoint());
    auto slow = std::async(std::launch::async, [&] { return call(relay.endpoint(), get("/reports/a?bytes=1000000&rate=50000")); });
    backend.process().waitForEvent("executed");
    relay.set(R"({"cutOpen": true, "refuse": true})");
    BOOST_TEST(slow.get().status == 0U);
    BOOST_TEST(call(relay.endpoint(), get("/catalog")).status == 0U);
    relay.set(R"({"refuse": false})");
    BOOST_TEST(call(relay.endpoint(), get("/catalog")).status == 200U);
}

BOOST_AUTO_TEST_CASE(A_load_counts_outcomes_and_notices_an_answer_that_is_not_its_own)
{
    BackendStandin backend(directory, {});
    LoadOptions options;
    options.targets = { backend.endpoint() };
    options.calls = { "4 GET petra.example /catalog", "1 POST petra.example /booking", "1 GET petra.example /reports/a?bytes=2000" };
    options.duration = 1s;
    LoadRun load(directory, options);
    const auto summary = load.summary();
    BOOST_TEST(summary["calls"].get<int>() > 10);
    BOOST_TEST(summary["succeeded"] == summary["calls"]);
    BOOST_TEST(summary["wrongAnswers"] == 0);
    BOOST_TEST(backend.runs().size() == load.calls().size());

    LogStandin log(directory);
    call(log.endpoint(), append("not the answer"));
    options.targets = { log.endpoint() };
    options.calls = { "1 GET petra.example " + reads + "&from=0" };
    options.duration = 200ms;
    LoadRun crossed(directory, options);
    const auto wrong = crossed.summary();
    BOOST_TEST(wrong["wrongAnswers"] == wrong["calls"]);
}

BOOST_AUTO_TEST_SUITE_END()
