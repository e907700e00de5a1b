#include "carobpath/foundation/Log.h"

#include "carobpath/foundation/EnumTable.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

namespace carobpath {

namespace {

    constexpr std::array<EnumRow<LogLevel>, 6> levelTexts { {
        { LogLevel::Trace, "trace" },
        { LogLevel::Debug, "debug" },
        { LogLevel::Info, "info" },
        { LogLevel::Warn, "warn" },
        { LogLevel::Error, "error" },
        { LogLevel::Off, "off" },
    } };

    log4cxx::LevelPtr backendLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Trace:
            return log4cxx::Level::getTrace();
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        case LogLevel::Off:
            return log4cxx::Level::getOff();
        }
        return log4cxx::Level::getInfo();
    }

}

std::optional<LogLevel> logLevelFromText(std::string_view text) { return enumValue(levelTexts, text); }

std::string_view toString(LogLevel level) { return enumText(levelTexts, level); }

void startLogging(const LogSettings& settings)
{
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(backendLevel(settings.level));
    log4cxx::MDC::put("node", settings.node);
}

void setLogLevel(LogLevel level)
{
    log4cxx::Logger::getRootLogger()->setLevel(backendLevel(level));
}

struct Logger::Backend {
    log4cxx::LoggerPtr logger;
};

Logger::Logger(std::string_view name)
    : m_backend(std::make_shared<const Backend>(Backend { log4cxx::Logger::getLogger(std::string(name)) }))
{
}

bool Logger::isEnabled(LogLevel level) const
{
    return m_backend->logger->isEnabledFor(backendLevel(level));
}

void Logger::write(LogLevel level, std::string_view message) const
{
    if (isEnabled(level))
        m_backend->logger->forcedLog(backendLevel(level), std::string(message));
}

}
