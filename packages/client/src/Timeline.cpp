#include "carobpath/client/Timeline.h"

#include "internal/EventFields.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>
#include <tuple>

namespace carobpath::client {

namespace {

    using Detail::textIn;
    using nlohmann::json;

    std::optional<TimelineEvent> eventFrom(std::string line)
    {
        if (line.size() > maximumTimelineLineBytes)
            return std::nullopt;
        const auto object = json::parse(line, nullptr, false);
        if (!object.is_object())
            return std::nullopt;
        const auto hybrid = hybridTimeFromText(textIn(object, "hybrid").value_or(""));
        const auto process = textIn(object, "process");
        if (!hybrid || !process || !textIn(object, "event"))
            return std::nullopt;
        return TimelineEvent { *hybrid, *process, std::move(line) };
    }

    bool isHeaderKey(const std::string& key)
    {
        constexpr std::array<std::string_view, 5> headerKeys { "at", "hybrid", "process", "incarnation", "event" };
        return std::find(headerKeys.begin(), headerKeys.end(), key) != headerKeys.end();
    }

}

void Timeline::read(std::istream& in, const std::string& file)
{
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (line.empty())
            continue;
        if (m_events.size() >= maximumTimelineEvents) {
            m_faults.push_back({ file, number, TimelineFaultKind::TooManyEvents });
            return;
        }
        if (auto event = eventFrom(std::move(line)))
            m_events.push_back(*std::move(event));
        else
            m_faults.push_back({ file, number, TimelineFaultKind::TornLine });
        line.clear();
    }
}

void Timeline::readFile(const std::string& path)
{
    std::ifstream in { path, std::ios::binary };
    if (in)
        read(in, path);
    if (!in.eof() && m_events.size() < maximumTimelineEvents)
        m_faults.push_back({ path, 0, TimelineFaultKind::UnreadableFile });
}

std::vector<TimelineEvent> Timeline::takeSorted()
{
    std::stable_sort(m_events.begin(), m_events.end(), [](const TimelineEvent& a, const TimelineEvent& b) {
        return std::tie(a.hybrid, a.process) < std::tie(b.hybrid, b.process);
    });
    return std::move(m_events);
}

std::string describe(const TimelineEvent& event)
{
    const auto object = json::parse(event.line);
    std::string text = textIn(object, "at").value_or(toString(event.hybrid)) + "  " + event.process + "  " + textIn(object, "event").value_or("");
    for (const auto& [key, value] : object.items()) {
        if (!isHeaderKey(key))
            text += "  " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

std::string describe(const TimelineFault& fault)
{
    const std::string place = fault.line > 0 ? fault.file + ":" + std::to_string(fault.line) : fault.file;
    switch (fault.kind) {
    case TimelineFaultKind::UnreadableFile:
        return place + ": can't be read";
    case TimelineFaultKind::TooManyEvents:
        return place + ": has more events than can be merged; the rest is left out";
    case TimelineFaultKind::TornLine:
        break;
    }
    return place + ": is no whole event; left out";
}

}
