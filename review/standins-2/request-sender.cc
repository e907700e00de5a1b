// A caller of one node: sends requests one after the other on a kept connection, and records how each was answered.
#include "HttpCalls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <iostream>

namespace {

using namespace review;
using Clock = std::chrono::steady_clock;

struct Options {
    std::string to;
    std::string name;
    std::string host;
    std::string method;
    std::string path;
    std::chrono::milliseconds interval {};
    std::chrono::milliseconds deadline {};
    int count = 0;
};

Options optionsOf(const cxxopts::ParseResult& parsed)
{
    Options it;
    it.to = parsed["to"].as<std::string>();
    it.name = parsed["name"].as<std::string>();
    it.host = parsed["host"].as<std::string>();
    it.method = parsed["method"].as<std::string>();
    it.path = parsed["path"].as<std::string>();
    it.interval = std::chrono::milliseconds { parsed["interval-ms"].as<int>() };
    it.deadline = std::chrono::milliseconds { parsed["deadline-ms"].as<int>() };
    it.count = parsed["count"].as<int>();
    return it;
}

Request requestOf(const Options& options, const std::string& id)
{
    Request request { http::string_to_verb(options.method), options.path, 11 };
    request.set(http::field::host, options.host);
    request.set("Carobpath-Attempt-Id", id);
    request.set("Carobpath-Deadline-Remaining-Ms", std::to_string(options.deadline.count()));
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

/// A success counts with the signature and the body that the upstream gave to this request.
bool isOwnSuccess(const Response& response, const std::string& id)
{
    return response["Carobpath-Response-Signature"] == "signature-of-" + id && response.body() == "answer to " + id + "\n";
}

std::string verdictOf(const Response& response, const std::string& id)
{
    if (response.result_int() / 100 != 2)
        return "failed";
    return isOwnSuccess(response, id) ? "served" : "foreign";
}

asio::awaitable<void> callOnce(CallerConnection& connection, const Options& options, const std::string& id, Record& record)
{
    record.write("sent " + id + " " + options.method + " " + options.path);
    try {
        const auto response = co_await connection.call(requestOf(options, id), options.deadline);
        record.write("answered " + id + " " + std::to_string(response.result_int()) + " " + verdictOf(response, id));
    } catch (const std::exception&) {
        record.write("answered " + id + " 0 none");
    }
}

asio::awaitable<void> callInTurn(Options options, Record& record)
{
    CallerConnection connection { endpointOf(options.to) };
    asio::steady_timer timer { co_await asio::this_coro::executor };
    auto due = Clock::now();
    for (int i = 1; i <= options.count; ++i) {
        co_await callOnce(connection, options, options.name + "-" + std::to_string(i), record);
        due = std::max(due + options.interval, Clock::now());
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

}

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("request-sender", "A caller of one node");
        auto add = options.add_options();
        add("to", "outbound address of the node", cxxopts::value<std::string>());
        add("name", "start of the requests' ids", cxxopts::value<std::string>());
        add("record", "file", cxxopts::value<std::string>());
        add("host", "Host field", cxxopts::value<std::string>()->default_value("shop.example"));
        add("method", "method", cxxopts::value<std::string>()->default_value("GET"));
        add("path", "target", cxxopts::value<std::string>()->default_value("/read/1"));
        add("interval-ms", "time between two requests", cxxopts::value<int>()->default_value("40"));
        add("deadline-ms", "time that the caller waits", cxxopts::value<int>()->default_value("1200"));
        add("count", "requests", cxxopts::value<int>()->default_value("1"));
        const auto parsed = options.parse(argc, argv);
        Record record { parsed["record"].as<std::string>() };
        asio::io_context context { 1 };
        asio::co_spawn(context, callInTurn(optionsOf(parsed), record), asio::detached);
        context.run();
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
