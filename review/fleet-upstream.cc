// An upstream of the platform beside one node, with a few faults that the platform's pages name.
#include "Http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

namespace {

using namespace review;
using std::chrono::milliseconds;

/// Set by SIGUSR1: from then on the pings and the answers say that the upstream leaves.
std::atomic<bool> isLeaving { false };

struct Shape {
    std::string instance;
    std::string service;
    std::string version;
    std::string zone;
    tcp::endpoint listen;
    tcp::endpoint control;
    unsigned slots = 6;
    milliseconds work { 20 };
    /// Each so many requests finds the upstream full; 0 is none.
    std::uint64_t refuseEvery = 0;
    /// Writes a refusal once more, late, where the next answer of its connection is due.
    bool repeatsRefusals = false;
    /// Writes bytes behind a complete answer, late, where the next answer of its connection is due: each so many answers.
    std::uint64_t surplusEvery = 0;
    /// Each so many requests is answered with 500, as a bad version does.
    std::uint64_t failEvery = 0;
    /// Bodies of answers have no end.
    bool hasEndlessBodies = false;
};

std::uint64_t startMilliseconds()
{
    static const auto start = static_cast<std::uint64_t>(wallMilliseconds());
    return start;
}

std::string textOf(const Response& response)
{
    std::ostringstream text;
    text << response;
    return text.str();
}

/// What the connections share.
class Upstream {
public:
    explicit Upstream(Shape shape)
        : m_shape(std::move(shape))
    {
    }

    const Shape& shape() const { return m_shape; }

    std::uint64_t nextConnection() { return ++m_connections; }

    bool findsItselfFull()
    {
        const auto number = ++m_requests;
        return m_shape.refuseEvery > 0 && number % m_shape.refuseEvery == 0;
    }

    bool fails()
    {
        const auto number = ++m_runs;
        return m_shape.failEvery > 0 && number % m_shape.failEvery == 0;
    }

    bool writesSurplus()
    {
        const auto number = ++m_answers;
        return m_shape.surplusEvery > 0 && number % m_shape.surplusEvery == 0;
    }

    bool takeSlot()
    {
        if (++m_running <= m_shape.slots)
            return true;
        --m_running;
        return false;
    }

    void leaveSlot() { --m_running; }

private:
    Shape m_shape;
    std::atomic<std::uint64_t> m_connections { 0 };
    std::atomic<std::uint64_t> m_requests { 0 };
    std::atomic<std::uint64_t> m_runs { 0 };
    std::atomic<std::uint64_t> m_answers { 0 };
    std::atomic<unsigned> m_running { 0 };
};

/// One accepted connection, served by a thread of its own.
class Connection {
public:
    Connection(Upstream& upstream, tcp::socket socket)
        : m_upstream(upstream)
        , m_socket(std::move(socket))
        , m_number(upstream.nextConnection())
    {
    }

    void serve()
    {
        boost::system::error_code ec;
        m_socket.set_option(tcp::no_delay(true), ec);
        while (!ec) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            http::read(m_socket, m_buffer, parser, ec);
            if (!ec)
                handle(parser.release(), ec);
        }
    }

private:
    void handle(const Request& request, boost::system::error_code& ec)
    {
        const std::string id { request[attemptIdField] };
        if (request.target() == "/health") {
            write(answer(http::status::ok, {}, {}), ec);
            return;
        }
        writeLate(id, ec);
        const std::string_view expected = request[expectedInstanceField];
        if (!expected.empty() && expected != m_upstream.shape().instance) {
            record("misdirected " + id);
            write(answer(http::status::misdirected_request, {}, {}), ec);
            return;
        }
        if (m_upstream.findsItselfFull() || !m_upstream.takeSlot()) {
            refuse(id, ec);
            return;
        }
        run(request, id, ec);
        m_upstream.leaveSlot();
    }

    void refuse(const std::string& id, boost::system::error_code& ec)
    {
        auto refusal = answer(http::status::service_unavailable, {}, {});
        refusal.set(notExecutedField, "1");
        record("refused " + id + " " + m_upstream.shape().instance + " connection=" + std::to_string(m_number));
        write(refusal, ec);
        if (m_upstream.shape().repeatsRefusals)
            m_late = textOf(refusal);
    }

    void run(const Request& request, const std::string& id, boost::system::error_code& ec)
    {
        record("run " + id + " " + m_upstream.shape().instance + " " + std::string { request.method_string() } + " " + std::string { request.target() }
            + " body=" + std::to_string(request.body().size()) + " remainingMs=" + std::string { request[remainingField] } + " connection=" + std::to_string(m_number)
            + (isLeaving ? " leaving" : ""));
        std::this_thread::sleep_for(m_upstream.shape().work);
        if (m_upstream.shape().hasEndlessBodies) {
            writeEndless(id, ec);
            return;
        }
        if (m_upstream.fails()) {
            record("failed " + id + " " + m_upstream.shape().instance);
            write(answer(http::status::internal_server_error, id, id + " failed\n"), ec);
            return;
        }
        write(answer(http::status::ok, id, id + " was run by " + m_upstream.shape().instance + "\n"), ec);
        if (m_upstream.writesSurplus())
            m_late = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nsurplus\n";
    }

    Response answer(http::status status, const std::string& id, std::string body) const
    {
        Response response { status, 11 };
        if (!id.empty()) {
            response.set(attemptIdField, id);
            response.set(signatureField, signatureOf(body));
        } else {
            response.set("Carobpath-Instance-Id", m_upstream.shape().instance);
        }
        response.set("Keep-Alive", "timeout=10");
        if (isLeaving)
            response.set(leavingField, "1");
        response.body() = std::move(body);
        response.prepare_payload();
        return response;
    }

    void write(const Response& response, boost::system::error_code& ec) { http::write(m_socket, response, ec); }

    /// Writes the bytes that belong to no request, where the answer to the next one is due.
    void writeLate(const std::string& next, boost::system::error_code& ec)
    {
        if (m_late.empty())
            return;
        record("surplus before-answer-to=" + next + " connection=" + std::to_string(m_number) + " bytes=" + std::to_string(m_late.size()));
        boost::asio::write(m_socket, boost::asio::buffer(m_late), ec);
        m_late.clear();
    }

    void writeEndless(const std::string& id, boost::system::error_code& ec)
    {
        constexpr milliseconds pause { 20 };
        auto head = answer(http::status::ok, id, {});
        head.erase(http::field::content_length);
        head.chunked(true);
        std::ostringstream text;
        text << head.base();
        boost::asio::write(m_socket, boost::asio::buffer(text.str()), ec);
        const std::string chunk = "100\r\n" + std::string(256, 'x') + "\r\n";
        while (!ec) {
            boost::asio::write(m_socket, boost::asio::buffer(chunk), ec);
            std::this_thread::sleep_for(pause);
        }
        record("endless-answer-closed " + id);
    }

    Upstream& m_upstream;
    tcp::socket m_socket;
    std::uint64_t m_number;
    boost::beast::flat_buffer m_buffer;
    /// Bytes that are written where the next answer is due.
    std::string m_late;
};

/// Sends the upstream's pings to the node beside it.
class Heartbeat {
public:
    explicit Heartbeat(const Shape& shape)
        : m_shape(shape)
    {
    }

    void run()
    {
        while (true) {
            send(pingRequest());
            pause();
        }
    }

private:
    /// Waits for the next ping; the one that tells the leaving comes at once.
    void pause()
    {
        constexpr milliseconds step { 50 };
        constexpr int steps = 20;
        const bool wasLeaving = isLeaving;
        for (int i = 0; i < steps && wasLeaving == isLeaving; ++i)
            std::this_thread::sleep_for(step);
    }

    std::string target() const { return "/v1/instances/" + m_shape.instance; }

    Request pingRequest()
    {
        Request request { http::verb::put, target(), 11 };
        request.set(http::field::content_type, "application/json");
        request.body() = body();
        return request;
    }

    void send(Request request)
    {
        try {
            exchange(std::move(request));
        } catch (const std::exception&) {
            // The node may be down for a moment; the next ping tells it.
        }
    }

    void exchange(Request request)
    {
        boost::asio::io_context io;
        tcp::socket socket(io);
        socket.connect(m_shape.control);
        request.set(http::field::host, "node");
        request.prepare_payload();
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        Response response;
        http::read(socket, buffer, response);
        if (isLeaving)
            record("told " + std::string { request.method_string() } + " of " + m_shape.instance + " status=" + std::to_string(response.result_int()));
    }

    std::string body()
    {
        const nlohmann::json ping {
            { "address", m_shape.listen.address().to_string() + ":" + std::to_string(m_shape.listen.port()) },
            { "born", startMilliseconds() },
            { "server-info", { { "service", m_shape.service }, { "version", m_shape.version }, { "zone", m_shape.zone }, { "slots", m_shape.slots } } },
            { "status", { { "state", isLeaving ? "draining" : "ready" }, { "seq", ++m_sequence }, { "cold-remaining-s", 0 } } },
        };
        return ping.dump();
    }

    const Shape& m_shape;
    std::uint64_t m_sequence = 0;
};

cxxopts::Options optionsOfUpstream()
{
    cxxopts::Options options("fleet-upstream", "An upstream beside one node");
    auto add = options.add_options();
    add("instance", "its id", cxxopts::value<std::string>());
    add("service", "that it belongs to", cxxopts::value<std::string>());
    add("version", "of its software", cxxopts::value<std::string>()->default_value("v1"));
    add("zone", "where it runs", cxxopts::value<std::string>());
    add("listen", "IP:PORT", cxxopts::value<std::string>());
    add("control", "IP:PORT for pings of the node beside it", cxxopts::value<std::string>());
    add("slots", "requests at one time", cxxopts::value<unsigned>()->default_value("6"));
    add("work-ms", "of a request", cxxopts::value<std::uint64_t>()->default_value("20"));
    add("refuse-every", "each so many requests finds it full", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("repeat-refusals", "writes a refusal once more where the next answer is due");
    add("surplus-every", "each so many answers has surplus bytes behind it", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("fail-every", "each so many requests is answered with 500", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("endless-bodies", "bodies of answers have no end");
    return options;
}

Shape shapeOf(const cxxopts::ParseResult& options)
{
    Shape shape;
    shape.instance = options["instance"].as<std::string>();
    shape.service = options["service"].as<std::string>();
    shape.version = options["version"].as<std::string>();
    shape.zone = options["zone"].as<std::string>();
    shape.listen = endpointOf(options["listen"].as<std::string>());
    shape.control = endpointOf(options["control"].as<std::string>());
    shape.slots = options["slots"].as<unsigned>();
    shape.work = milliseconds(options["work-ms"].as<std::uint64_t>());
    shape.refuseEvery = options["refuse-every"].as<std::uint64_t>();
    shape.repeatsRefusals = options.count("repeat-refusals") > 0;
    shape.surplusEvery = options["surplus-every"].as<std::uint64_t>();
    shape.failEvery = options["fail-every"].as<std::uint64_t>();
    shape.hasEndlessBodies = options.count("endless-bodies") > 0;
    return shape;
}

void serve(const Shape& shape)
{
    startMilliseconds();
    Upstream upstream(shape);
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, shape.listen);
    std::thread([&upstream] { Heartbeat(upstream.shape()).run(); }).detach();
    record("upstream " + shape.instance + " started");
    while (true) {
        auto socket = acceptor.accept();
        std::thread([&upstream, peer = std::move(socket)]() mutable { Connection(upstream, std::move(peer)).serve(); }).detach();
    }
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGUSR1, [](int) { isLeaving = true; });
    try {
        serve(shapeOf(optionsOfUpstream().parse(argc, argv)));
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "fleet-upstream: " << e.what() << '\n';
        return 2;
    }
}
