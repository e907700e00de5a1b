#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace carobpath {

/// One value of an enum and its text.
template <typename Enum>
struct EnumRow {
    Enum value;
    std::string_view text;
};

/// \returns the text of the value, or the first row's where the value has none.
template <typename Enum, std::size_t count>
constexpr std::string_view enumText(const std::array<EnumRow<Enum>, count>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.text;
    }
    return table.front().text;
}

/// \returns the value whose text is given, if any.
template <typename Enum, std::size_t count>
constexpr std::optional<Enum> enumValue(const std::array<EnumRow<Enum>, count>& table, std::string_view text)
{
    for (const auto& row : table) {
        if (row.text == text)
            return row.value;
    }
    return std::nullopt;
}

}
