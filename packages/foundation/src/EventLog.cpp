#include "carobpath/foundation/EventLog.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>

namespace carobpath {

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(WallClock::now());
}

std::string toString(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto millis = static_cast<int>((time - seconds).count());
    const std::time_t moment = seconds.time_since_epoch().count();
    std::tm parts {};
    gmtime_r(&moment, &parts);
    std::array<char, 32> date {};
    const auto n = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", millis);
    return std::string(date.data(), n) + fraction.data();
}

EventLog::EventLog(std::ostream& out, std::string process, Incarnation incarnation, HybridClock& hybridClock, Clock clock)
    : m_out(out)
    , m_process(std::move(process))
    , m_incarnation(incarnation)
    , m_hybridClock(hybridClock)
    , m_clock(std::move(clock))
{
}

HybridTime EventLog::record(const Event& event)
{
    const WallTime now = m_clock();
    const HybridTime hybrid = m_hybridClock.tick(now);
    auto& rate = m_rates[event.name().text];
    if (const auto leftOut = rate.next(MonotonicClock::now()))
        write(event, now, hybrid, *leftOut, rate);
    return hybrid;
}

void EventLog::write(const Event& event, WallTime now, HybridTime hybrid, std::uint64_t leftOut, LineRate& rate)
{
    nlohmann::ordered_json line;
    line["at"] = toString(now);
    line["hybrid"] = toString(hybrid);
    line["process"] = m_process;
    line["incarnation"] = m_incarnation.value;
    line["event"] = event.name().text;
    for (const EventField& field : event.fields())
        std::visit([&](const auto& value) { line[field.key] = value; }, field.value);
    if (leftOut > 0)
        line["leftOut"] = leftOut;
    m_out << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << '\n'
          << std::flush;
    if (m_out)
        return;
    m_out.clear();
    rate.onLost(leftOut + 1);
}

}
