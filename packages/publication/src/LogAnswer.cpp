#include "internal/LogAnswer.h"

#include <nlohmann/json.hpp>

namespace carobpath::publication::Detail {

namespace {

    using nlohmann::json;

    std::optional<Offset> offsetIn(const json& in, const char* key)
    {
        if (!in.is_object() || !in.contains(key) || !in.at(key).is_number_unsigned())
            return std::nullopt;
        return in.at(key).get<Offset>();
    }

    json parse(std::string_view body)
    {
        return json::parse(body, nullptr, false);
    }

    bool isInOrder(const LogBatch& batch, Offset from)
    {
        Offset least = from;
        for (const auto& record : batch.records) {
            if (record.offset < least || record.offset >= batch.next)
                return false;
            least = record.offset + 1;
        }
        return true;
    }

}

std::optional<Appended> readAppended(std::string_view body)
{
    const auto offset = offsetIn(parse(body), "offset");
    return offset ? std::optional { Appended { *offset } } : std::nullopt;
}

std::optional<Trimmed> readTrimmed(std::string_view body)
{
    const auto first = offsetIn(parse(body), "first");
    return first ? std::optional { Trimmed { *first } } : std::nullopt;
}

std::optional<LogBatch> readBatch(std::string_view body, Offset from)
{
    const auto in = parse(body);
    const auto first = offsetIn(in, "first");
    const auto next = offsetIn(in, "next");
    if (!first || !next || !in.contains("records") || !in.at("records").is_array())
        return std::nullopt;
    LogBatch batch { *first, *next, {} };
    batch.records.reserve(in.at("records").size());
    for (const auto& it : in.at("records")) {
        const auto offset = offsetIn(it, "offset");
        if (!offset || !it.contains("body") || !it.at("body").is_string())
            return std::nullopt;
        batch.records.push_back({ *offset, it.at("body").get<std::string>() });
    }
    return isInOrder(batch, from) ? std::optional { std::move(batch) } : std::nullopt;
}

}
