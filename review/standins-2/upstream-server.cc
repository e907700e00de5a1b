// An upstream of a small deployment: runs requests, records them, and sends its pings to the node beside it.
#include "HttpCalls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace review;
using std::chrono::milliseconds;

struct Options {
    std::string listen;
    /// The node's control address; empty for an upstream whose pings a script sends.
    std::string control;
    std::string service;
    std::string instance;
    std::string version;
    milliseconds work {};
    milliseconds pingInterval {};
    /// Every answer with this number ends with 500; 0 for none.
    int failEvery = 0;
};

Options optionsOf(const cxxopts::ParseResult& parsed)
{
    Options it;
    it.listen = parsed["listen"].as<std::string>();
    it.control = parsed["control"].as<std::string>();
    it.service = parsed["service"].as<std::string>();
    it.instance = parsed["instance"].as<std::string>();
    it.version = parsed["version"].as<std::string>();
    it.work = milliseconds { parsed["work-ms"].as<int>() };
    it.pingInterval = milliseconds { parsed["ping-interval-ms"].as<int>() };
    it.failEvery = parsed["fail-every"].as<int>();
    return it;
}

asio::awaitable<void> sleepFor(milliseconds time)
{
    asio::steady_timer timer { co_await asio::this_coro::executor, time };
    co_await timer.async_wait(asio::use_awaitable);
}

class Upstream {
public:
    Upstream(Options options, Record& record)
        : m_options(std::move(options))
        , m_record(record)
    {
    }

    asio::awaitable<void> accept()
    {
        const auto executor = co_await asio::this_coro::executor;
        tcp::acceptor acceptor { executor, endpointOf(m_options.listen) };
        while (true) {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay { true });
            asio::co_spawn(executor, serve(boost::beast::tcp_stream { std::move(socket) }), asio::detached);
        }
    }

    asio::awaitable<void> ping()
    {
        CallerConnection node { endpointOf(m_options.control) };
        for (std::uint64_t sequence = 1;; ++sequence) {
            try {
                const auto response = co_await node.call(pingOf(sequence), milliseconds { 1000 });
                m_record.write("ping " + m_options.instance + " " + std::to_string(sequence) + " " + std::to_string(response.result_int()));
            } catch (const std::exception&) {
                m_record.write("ping " + m_options.instance + " " + std::to_string(sequence) + " lost");
            }
            co_await sleepFor(m_options.pingInterval);
        }
    }

    /// From SIGUSR1 on, the upstream says in all its answers that it leaves.
    asio::awaitable<void> awaitLeaving()
    {
        asio::signal_set signals { co_await asio::this_coro::executor, SIGUSR1 };
        co_await signals.async_wait(asio::use_awaitable);
        m_isLeaving = true;
        m_record.write("leaving " + m_options.instance);
    }

private:
    asio::awaitable<void> serve(boost::beast::tcp_stream stream)
    {
        boost::beast::flat_buffer buffer;
        try {
            while (true) {
                Request request;
                co_await http::async_read(stream, buffer, request, asio::use_awaitable);
                co_await answer(stream, request);
            }
        } catch (const std::exception&) {
            // The other end has closed the connection.
        }
    }

    asio::awaitable<void> answer(boost::beast::tcp_stream& stream, const Request& request)
    {
        const std::string id { request["Carobpath-Attempt-Id"] };
        m_record.write("ran " + id + " " + m_options.instance + " " + m_options.version);
        co_await sleepFor(m_options.work);
        const auto response = responseTo(id);
        co_await http::async_write(stream, response, asio::use_awaitable);
    }

    Response responseTo(const std::string& id)
    {
        ++m_answers;
        const bool fails = m_options.failEvery > 0 && m_answers % m_options.failEvery == 0;
        Response response { fails ? http::status::internal_server_error : http::status::ok, 11 };
        response.set("Carobpath-Attempt-Id", id);
        response.set("Carobpath-Response-Signature", "signature-of-" + id);
        if (m_isLeaving)
            response.set("Server-Leaving", "1");
        response.body() = "answer to " + id + "\n";
        response.prepare_payload();
        return response;
    }

    Request pingOf(std::uint64_t sequence) const
    {
        const nlohmann::json body {
            { "address", m_options.listen },
            { "born", m_born },
            { "server-info", { { "service", m_options.service }, { "version", m_options.version }, { "zone", "amman-a" }, { "slots", 6 } } },
            { "status", { { "state", "ready" }, { "seq", sequence }, { "cold-remaining-s", 0 } } },
        };
        Request request { http::verb::put, "/v1/instances/" + m_options.instance, 11 };
        request.set(http::field::host, m_options.control);
        request.set(http::field::content_type, "application/json");
        request.body() = body.dump();
        request.prepare_payload();
        return request;
    }

    Options m_options;
    Record& m_record;
    std::int64_t m_born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    int m_answers = 0;
    bool m_isLeaving = false;
};

}

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("upstream-server", "An upstream of a small deployment");
        auto add = options.add_options();
        add("listen", "IP:PORT", cxxopts::value<std::string>());
        add("control", "IP:PORT of the node", cxxopts::value<std::string>()->default_value(""));
        add("service", "name", cxxopts::value<std::string>()->default_value("catalog"));
        add("instance", "id", cxxopts::value<std::string>());
        add("version", "name", cxxopts::value<std::string>()->default_value("v1"));
        add("record", "file", cxxopts::value<std::string>());
        add("work-ms", "time of one request", cxxopts::value<int>()->default_value("20"));
        add("ping-interval-ms", "time between two pings", cxxopts::value<int>()->default_value("1500"));
        add("fail-every", "each answer with this number is a 500", cxxopts::value<int>()->default_value("0"));
        const auto parsed = options.parse(argc, argv);
        Record record { parsed["record"].as<std::string>() };
        asio::io_context context { 1 };
        Upstream upstream { optionsOf(parsed), record };
        asio::co_spawn(context, upstream.accept(), [](const std::exception_ptr& failure) { std::rethrow_exception(failure); });
        asio::co_spawn(context, upstream.awaitLeaving(), asio::detached);
        if (!parsed["control"].as<std::string>().empty())
            asio::co_spawn(context, upstream.ping(), asio::detached);
        context.run();
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
