#include "internal/Context.h"

#include "carobpath/foundation/SettingParsers.h"

namespace carobpath::client::Detail {

void Context::printJson(const nlohmann::json& json) const
{
    if (isJson)
        out << json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

void Context::printText(const std::string& line) const
{
    if (!isJson)
        out << line << '\n';
}

ExitCode Context::fail(ExitCode code, const std::string& result, const std::string& message) const
{
    printJson({ { "result", result }, { "message", message } });
    if (!isJson)
        err << message << '\n';
    return code;
}

std::optional<std::chrono::milliseconds> Context::duration(const std::string& option) const
{
    if (options.count(option) == 0)
        return std::nullopt;
    const auto text = options[option].as<std::string>();
    const auto parsed = parseDuration(text, { std::chrono::microseconds { 0 }, std::chrono::hours { 24 } });
    if (const auto* duration = std::get_if<std::chrono::microseconds>(&parsed))
        return std::chrono::ceil<std::chrono::milliseconds>(*duration);
    throw cxxopts::exceptions::incorrect_argument_type(text);
}

}
