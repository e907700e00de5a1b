// Requesters of one node: each sends requests in turn, and says what it sent and what came back.
#include "Http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cxxopts.hpp>

#include <iostream>
#include <optional>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using namespace review;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

struct Load {
    std::string name;
    tcp::endpoint node;
    std::string method;
    std::string host;
    std::string path;
    std::string body;
    std::uint64_t requests = 1;
    milliseconds deadline { 0 };
    milliseconds interval { 0 };
};

/// How a request ended.
struct Ending {
    unsigned status = 0;
    std::string error;
    std::string notes;
};

/// One requester with a connection that it keeps while the node keeps it.
class Requester {
public:
    Requester(const Load& load, std::string name)
        : m_load(load)
        , m_name(std::move(name))
    {
    }

    void run()
    {
        for (std::uint64_t i = 0; i < m_load.requests; ++i) {
            send(m_name + "-" + std::to_string(i));
            std::this_thread::sleep_for(m_load.interval);
        }
    }

private:
    void send(const std::string& id)
    {
        record("sent " + id + " " + m_load.method + " " + m_load.path + " body=" + std::to_string(m_load.body.size()));
        const auto start = Clock::now();
        const auto ending = exchange(id);
        const auto time = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
        std::string line = "ended " + id + " status=" + std::to_string(ending.status) + " ms=" + std::to_string(time.count());
        if (!ending.error.empty())
            line += " error=\"" + ending.error + "\"";
        record(line + ending.notes);
    }

    Ending exchange(const std::string& id)
    {
        boost::system::error_code ec;
        connect(ec);
        if (ec)
            return failed(ec);
        write(id, ec);
        if (ec)
            return failed(ec);
        return readAnswer(id);
    }

    void connect(boost::system::error_code& ec)
    {
        const auto until = Clock::now() + m_load.deadline;
        if (!m_stream) {
            m_stream.emplace(m_io);
            m_stream->expires_at(until);
            m_stream->async_connect(m_load.node, [&ec](boost::system::error_code result) { ec = result; });
            runToEnd();
        }
        m_stream->expires_at(until);
    }

    void write(const std::string& id, boost::system::error_code& ec)
    {
        Request request { http::string_to_verb(m_load.method), m_load.path, 11 };
        request.set(http::field::host, m_load.host);
        request.set(attemptIdField, id);
        request.set(remainingField, std::to_string(m_load.deadline.count()));
        request.body() = m_load.body;
        request.prepare_payload();
        http::async_write(*m_stream, request, [&ec](boost::system::error_code result, std::size_t) { ec = result; });
        runToEnd();
    }

    Ending readAnswer(const std::string& id)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        boost::beast::flat_buffer buffer;
        boost::system::error_code ec;
        http::async_read(*m_stream, buffer, parser, [&ec](boost::system::error_code result, std::size_t) { ec = result; });
        runToEnd();
        const auto& answer = parser.get();
        if (ec) {
            auto ending = failed(ec);
            if (parser.is_header_done())
                ending.notes = " headStatus=" + std::to_string(answer.result_int()) + " bodyBytes=" + std::to_string(answer.body().size());
            return ending;
        }
        if (!answer.keep_alive())
            m_stream.reset();
        return { answer.result_int(), {}, notesOf(answer, id) };
    }

    static std::string notesOf(const Response& answer, const std::string& id)
    {
        const std::string signature { answer[signatureField] };
        std::string notes = " answers=" + (answer.count(attemptIdField) > 0 ? std::string { answer[attemptIdField] } : "-");
        if (signature.empty())
            notes += " signature=none";
        else
            notes += signature == signatureOf(answer.body()) ? " signature=right" : " signature=wrong";
        const bool isOwn = answer.body().starts_with(id + " ");
        notes += isOwn ? " body=own" : " body=other";
        if (answer.count(http::field::retry_after) > 0)
            notes += " retryAfter=" + std::string { answer[http::field::retry_after] };
        if (answer.count(leavingField) > 0)
            notes += " leaving=" + std::string { answer[leavingField] };
        return notes;
    }

    Ending failed(boost::system::error_code ec)
    {
        m_stream.reset();
        return { 0, ec.message(), {} };
    }

    void runToEnd()
    {
        m_io.restart();
        m_io.run();
    }

    const Load& m_load;
    std::string m_name;
    boost::asio::io_context m_io;
    std::optional<boost::beast::tcp_stream> m_stream;
};

cxxopts::Options optionsOfRequester()
{
    cxxopts::Options options("fleet-requester", "Requesters of a node");
    auto add = options.add_options();
    add("name", "start of the requests' ids", cxxopts::value<std::string>()->default_value("q"));
    add("node", "IP:PORT of the node", cxxopts::value<std::string>());
    add("method", "of the requests", cxxopts::value<std::string>()->default_value("GET"));
    add("host", "of the requests", cxxopts::value<std::string>());
    add("path", "of the requests", cxxopts::value<std::string>());
    add("body-bytes", "of the requests", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("requests", "that each requester sends", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("requesters", "at one time", cxxopts::value<unsigned>()->default_value("1"));
    add("deadline-ms", "of a request", cxxopts::value<std::uint64_t>()->default_value("1500"));
    add("interval-ms", "between two requests of a requester", cxxopts::value<std::uint64_t>()->default_value("0"));
    return options;
}

Load loadOf(const cxxopts::ParseResult& options)
{
    Load load;
    load.name = options["name"].as<std::string>();
    load.node = endpointOf(options["node"].as<std::string>());
    load.method = options["method"].as<std::string>();
    load.host = options["host"].as<std::string>();
    load.path = options["path"].as<std::string>();
    load.body.assign(options["body-bytes"].as<std::uint64_t>(), 'b');
    load.requests = options["requests"].as<std::uint64_t>();
    load.deadline = milliseconds(options["deadline-ms"].as<std::uint64_t>());
    load.interval = milliseconds(options["interval-ms"].as<std::uint64_t>());
    return load;
}

void run(const cxxopts::ParseResult& options)
{
    const auto load = loadOf(options);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < options["requesters"].as<unsigned>(); ++i)
        threads.emplace_back([&load, i] { Requester(load, load.name + "-" + std::to_string(i)).run(); });
    for (auto& it : threads)
        it.join();
}

}

int main(int argc, char** argv)
{
    try {
        run(optionsOfRequester().parse(argc, argv));
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "fleet-requester: " << e.what() << '\n';
        return 2;
    }
}
