#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath {

/// Severity of a log line, lowest first.
enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
    Off,
};

/// \returns the level whose lower-case name is given, such as "info".
std::optional<LogLevel> logLevelFromText(std::string_view);
std::string_view toString(LogLevel);

/// How a process logs.
struct LogSettings {
    LogLevel level = LogLevel::Info;
    /// Written with each line of the starting thread as "node" of the context map.
    std::string node;
};

/// Sends logs as JSON lines to standard error. Call once, before the first log line.
void startLogging(const LogSettings&);

/// Changes the level of a process that logs already.
void setLogLevel(LogLevel);

/// A named source of log lines. Cheap to copy.
class Logger {
public:
    explicit Logger(std::string_view name);

    bool isEnabled(LogLevel) const;
    void write(LogLevel, std::string_view message) const;

    void trace(std::string_view message) const { write(LogLevel::Trace, message); }
    void debug(std::string_view message) const { write(LogLevel::Debug, message); }
    void info(std::string_view message) const { write(LogLevel::Info, message); }
    void warn(std::string_view message) const { write(LogLevel::Warn, message); }
    void error(std::string_view message) const { write(LogLevel::Error, message); }

private:
    struct Backend;
    std::shared_ptr<const Backend> m_backend;
};

}
