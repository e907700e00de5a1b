// What the operator does at the platform's store. Usage:
//   store-call IP:PORT put KEY FILE   writes a value under a key of the operator's topic
//   store-call IP:PORT status         prints "KEY VALUE-IN-BASE64" for each record of the topic of states
#include "Http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

namespace {

using namespace review;

Response call(const std::string& store, Request request)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(endpointOf(store));
    request.set(http::field::host, store);
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buffer;
    Response response;
    http::read(socket, buffer, response);
    return response;
}

std::string frameOf(const std::string& key, const std::string& value)
{
    const std::string content = static_cast<char>(key.size()) + key + value;
    const auto n = static_cast<std::uint32_t>(content.size());
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
        frame += static_cast<char>((n >> shift) & 0xFFU);
    return frame + content;
}

std::string contentsOf(const std::string& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int put(const std::string& store, const std::string& key, const std::string& path)
{
    Request request { http::verb::post, "/v1/log-append?topic=keyed.op&part=0", 11 };
    request.body() = frameOf(key, contentsOf(path));
    const auto status = call(store, std::move(request)).result_int();
    record("operator wrote " + key + " status=" + std::to_string(status));
    return status == 200 ? 0 : 1;
}

int printStates(const std::string& store)
{
    const auto response = call(store, Request { http::verb::get, "/v1/log-newest?topic=keyed.status&part=0", 11 });
    const auto listing = nlohmann::json::parse(response.body());
    for (const auto& it : listing.at("items"))
        std::cout << it.at("key").get<std::string>() << ' ' << it.at("value").get<std::string>() << '\n';
    return 0;
}

int run(const std::vector<std::string>& arguments)
{
    if (arguments.size() == 4 && arguments[1] == "put")
        return put(arguments[0], arguments[2], arguments[3]);
    if (arguments.size() == 2 && arguments[1] == "status")
        return printStates(arguments[0]);
    return 2;
}

}

int main(int argc, char** argv)
{
    try {
        return run({ argv + 1, argv + argc });
    } catch (const std::exception& e) {
        std::cerr << "store-call: " << e.what() << '\n';
        return 2;
    }
}
