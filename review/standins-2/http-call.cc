// One HTTP call: prints the status and the body of its answer. With --key, the body is sent to the store as a keyed record,
// or the newest record of the key is printed.
#include "HttpCalls.hpp"

#include "carobpath/platform/Base64.h"
#include "carobpath/platform/RecordFrames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace {

using namespace review;
namespace platform = carobpath::platform;

asio::awaitable<void> callOnce(tcp::endpoint to, Request request, std::optional<Response>& response)
{
    CallerConnection connection { std::move(to) };
    try {
        response = co_await connection.call(request, std::chrono::milliseconds { 2000 });
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
    }
}

Request requestOf(const cxxopts::ParseResult& parsed)
{
    const auto method = parsed["method"].as<std::string>();
    Request request { http::string_to_verb(method), parsed["target"].as<std::string>(), 11 };
    request.set(http::field::host, parsed["to"].as<std::string>());
    request.body() = parsed["body"].as<std::string>();
    if (const auto key = parsed["key"].as<std::string>(); !key.empty() && method == "POST")
        request.body() = platform::frameOf(platform::keyedContent(key, request.body()));
    request.keep_alive(false);
    request.prepare_payload();
    return request;
}

/// \returns the value of the key in a listing of the store; empty if it is not there.
std::string valueIn(const std::string& listing, const std::string& key)
{
    const auto page = nlohmann::json::parse(listing);
    for (const auto& it : page.at("items")) {
        if (it.at("key") == key)
            return platform::fromBase64(it.at("value").get<std::string>()).value_or("");
    }
    return {};
}

}

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("http-call", "One HTTP call");
        auto add = options.add_options();
        add("to", "IP:PORT", cxxopts::value<std::string>());
        add("method", "method", cxxopts::value<std::string>()->default_value("GET"));
        add("target", "target", cxxopts::value<std::string>());
        add("body", "body", cxxopts::value<std::string>()->default_value(""));
        add("key", "key of a record of the store", cxxopts::value<std::string>()->default_value(""));
        const auto parsed = options.parse(argc, argv);
        asio::io_context context { 1 };
        std::optional<Response> response;
        asio::co_spawn(context, callOnce(endpointOf(parsed["to"].as<std::string>()), requestOf(parsed), response), asio::detached);
        context.run();
        if (!response)
            return 1;
        const auto key = parsed["key"].as<std::string>();
        const bool isListing = !key.empty() && parsed["method"].as<std::string>() == "GET";
        std::cout << response->result_int() << ' ' << (isListing ? valueIn(response->body(), key) : response->body()) << '\n';
        return response->result_int() / 100 == 2 ? 0 : 1;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
