#include "internal/FaultJson.h"

namespace carobpath::client::Detail {

namespace {

    nlohmann::json toJson(const publication::ObjectFault& fault)
    {
        nlohmann::json out { { "kind", kindText(fault) }, { "detail", fault.detail } };
        if (!fault.mark.file.empty())
            out["file"] = fault.mark.file;
        if (fault.mark.line > 0) {
            out["line"] = fault.mark.line;
            out["column"] = fault.mark.column;
        }
        if (!fault.key.empty())
            out["key"] = fault.key;
        if (fault.check && fault.check->object)
            out["object"] = toString(*fault.check->object);
        if (fault.check && fault.check->related)
            out["related"] = toString(*fault.check->related);
        return out;
    }

}

ReportedFault reported(const publication::ObjectFault& fault)
{
    return { toJson(fault), describe(fault) };
}

ReportedFault reported(const SettingsFault& fault)
{
    nlohmann::json json { { "file", fault.file }, { "line", fault.line }, { "column", fault.column }, { "key", fault.key } };
    json["kind"] = toString(fault.kind);
    json["detail"] = fault.detail;
    return { std::move(json), toString(fault) };
}

ExitCode reportFaults(const Context& context, ExitCode code, const std::string& result, const ReportedFaults& faults, nlohmann::json extra)
{
    if (!context.isJson) {
        for (const auto& it : faults)
            context.err << it.text << '\n';
        return code;
    }
    extra["result"] = result;
    extra["faults"] = nlohmann::json::array();
    for (const auto& it : faults)
        extra["faults"].push_back(it.json);
    context.printJson(extra);
    return code;
}

}
