#include "internal/EventFields.h"

namespace carobpath::client::Detail {

std::optional<std::string> textIn(const nlohmann::json& object, const char* key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_string() ? std::optional { it->get<std::string>() } : std::nullopt;
}

std::uint64_t numberIn(const nlohmann::json& object, const char* key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

std::optional<std::chrono::duration<double, std::milli>> millisecondsIn(const nlohmann::json& object, const char* key)
{
    const auto it = object.find(key);
    if (it == object.end() || !it->is_number())
        return std::nullopt;
    return std::chrono::duration<double, std::milli> { it->get<double>() };
}

}
