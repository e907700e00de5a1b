#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/EventNames.h"
#include "carobpath/foundation/Identifier.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carobpath {

/// Value of one field of an event.
using EventValue = std::variant<std::string, std::int64_t, std::uint64_t, double, bool, std::vector<std::string>>;

/// One field of an event.
struct EventField {
    std::string key;
    EventValue value;
};

/// An event of the time line, built field by field: Event(event::started).with("admin", endpoint).
class Event {
public:
    explicit Event(EventName name)
        : m_name(name)
    {
    }

    Event& with(std::string_view key, std::string_view text) { return add(key, std::string(text)); }
    Event& with(std::string_view key, const std::string& text) { return add(key, text); }
    Event& with(std::string_view key, const char* text) { return add(key, std::string(text)); }
    Event& with(std::string_view key, bool value) { return add(key, value); }
    Event& with(std::string_view key, double value) { return add(key, value); }
    Event& with(std::string_view key, const Endpoint& value) { return add(key, toString(value)); }
    Event& with(std::string_view key, const std::vector<std::string>& values) { return add(key, values); }

    template <std::signed_integral Integer>
    requires(!std::same_as<Integer, bool>)
        Event& with(std::string_view key, Integer value)
    {
        return add(key, static_cast<std::int64_t>(value));
    }

    template <std::unsigned_integral Integer>
    requires(!std::same_as<Integer, bool>)
        Event& with(std::string_view key, Integer value)
    {
        return add(key, static_cast<std::uint64_t>(value));
    }

    template <typename Tag>
    Event& with(std::string_view key, const Identifier<Tag>& name)
    {
        return add(key, name.value());
    }

    /// Durations are written in milliseconds with a fraction; the key should end in "Ms".
    template <typename Rep, typename Period>
    Event& with(std::string_view key, std::chrono::duration<Rep, Period> value)
    {
        return add(key, std::chrono::duration<double, std::milli>(value).count());
    }

    EventName name() const { return m_name; }
    const std::vector<EventField>& fields() const { return m_fields; }

private:
    Event& add(std::string_view key, EventValue value)
    {
        m_fields.push_back({ std::string(key), std::move(value) });
        return *this;
    }

    EventName m_name;
    std::vector<EventField> m_fields;
};

}
