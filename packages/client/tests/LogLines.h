#pragma once

#include "carobpath/client/Timeline.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace carobpath::client {

/// Event logs of several processes, written line by line.
class LogLines {
public:
    /// \param at milliseconds after the start of the log.
    LogLines& add(int at, const std::string& node, const std::string& event, const nlohmann::ordered_json& fields)
    {
        nlohmann::ordered_json line { { "at", "2026-12-04T05:00:00.000Z" }, { "hybrid", std::to_string(s_start + at) + ".0" }, { "process", "node/" + node }, { "incarnation", 1 }, { "event", event } };
        if (!fields.is_null())
            line.update(fields);
        m_text << line.dump() << '\n';
        return *this;
    }

    std::string text() const { return m_text.str(); }

    std::vector<TimelineEvent> events() const
    {
        Timeline timeline;
        std::istringstream in { text() };
        timeline.read(in, "nodes.log");
        return timeline.takeSorted();
    }

private:
    static constexpr std::int64_t s_start = 1'796'360'400'000;

    std::ostringstream m_text;
};

}
