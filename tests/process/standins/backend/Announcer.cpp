#include "Announcer.h"

#include "common/HttpCall.h"

#include <nlohmann/json.hpp>

namespace carobpath::standins {

Announcer::Announcer(StandinProcess& process, const BackendModel& model, tcp::endpoint node, tcp::endpoint self)
    : m_process(process)
    , m_model(model)
    , m_node(std::move(node))
    , m_self(std::move(self))
    , m_timer(process.context())
{
}

void Announcer::start()
{
    announce();
    scheduleNext();
}

void Announcer::scheduleNext()
{
    const auto now = MonotonicClock::now();
    auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(s_interval);
    // The end of the cold start is announced when it comes.
    if (m_model.state(now) == BackendState::Cold)
        wait = std::min(wait, m_model.shape().coldStart);
    m_timer.expires_after(wait);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            start();
    });
}

void Announcer::announce()
{
    Request request(http::verb::put, "/v1/upstream", 11);
    request.set(http::field::content_type, "application/json");
    request.body() = body();
    HttpCall::start(m_process.context(), m_node, std::move(request), "", s_timeout, [this](boost::system::error_code ec, const Response& response) {
        if (ec)
            m_process.events().record(Event(event::announcementFailed).with("error", ec.message()));
        else if (response.result() != http::status::no_content)
            m_process.events().record(Event(event::announcementFailed).with("status", response.result_int()).with("body", response.body()));
    });
}

std::string Announcer::body() const
{
    const auto& shape = m_model.shape();
    const nlohmann::ordered_json body {
        { "service", shape.service },
        { "version", shape.version },
        { "address", m_self.address().to_string() },
        { "port", m_self.port() },
        { "slots", shape.slots },
        { "connections", shape.connections },
        { "state", toString(m_model.state(MonotonicClock::now())) },
    };
    return body.dump();
}

}
