#include "carobpath/routing/IntentRecord.h"

#include "carobpath/foundation/EnumTable.h"

#include <nlohmann/json.hpp>

#include <array>

namespace carobpath::routing {

namespace {

    using Json = nlohmann::json;

    constexpr std::array<EnumRow<IntentKind>, 3> kinds { {
        { IntentKind::Claim, "claim" },
        { IntentKind::Release, "release" },
        { IntentKind::Ran, "ran" },
    } };

    bool isIntent(const Json& json)
    {
        if (!json.is_array() || json.size() != 3)
            return false;
        return json[0].is_string() && json[1].is_string() && json[2].is_string();
    }

}

std::string encodeIntents(const IntentBatch& batch)
{
    Json intents = Json::array();
    for (const auto& it : batch.intents)
        intents.push_back({ enumText(kinds, it.kind), it.key.value(), it.request.value() });
    return Json { { "batch", batch.id }, { "intents", std::move(intents) } }.dump();
}

Result<IntentBatch> decodeIntents(std::string_view body)
{
    const auto json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("batch") || !json.contains("intents"))
        return boost::leaf::new_error(IntentRecordError {});
    if (!json["batch"].is_string() || !json["intents"].is_array())
        return boost::leaf::new_error(IntentRecordError {});
    IntentBatch batch;
    batch.id = json["batch"].get<std::string>();
    for (const auto& it : json["intents"]) {
        if (!isIntent(it))
            return boost::leaf::new_error(IntentRecordError {});
        const auto kind = enumValue(kinds, it[0].get_ref<const std::string&>());
        if (!kind)
            return boost::leaf::new_error(IntentRecordError {});
        batch.intents.push_back({ *kind, IntentKey { it[1].get<std::string>() }, RequestId { it[2].get<std::string>() } });
    }
    return batch;
}

}
