#include "observability/Log.h"

#include "core/Failure.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <nlohmann/json.hpp>

#include <chrono>

namespace auburndoor {

namespace {

std::string &processNameStorage()
{
    static std::string name;
    return name;
}

log4cplus::LogLevel toLog4cplusLevel(Log::Level level)
{
    switch (level) {
    case Log::Level::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Log::Level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Log::Level::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Log::Level::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    case Log::Level::Off:
        break;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

std::string_view levelName(Log::Level level)
{
    switch (level) {
    case Log::Level::Debug:
        return "debug";
    case Log::Level::Info:
        return "info";
    case Log::Level::Warning:
        return "warning";
    default:
        return "error";
    }
}

log4cplus::Logger &logger()
{
    static log4cplus::Initializer initializer;
    static log4cplus::Logger logger = [] {
        auto created = log4cplus::Logger::getInstance("auburndoor");
        created.setLogLevel(log4cplus::OFF_LOG_LEVEL);
        return created;
    }();
    return logger;
}

std::string currentTimeText()
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    std::tm utcTime {};
    gmtime_r(&seconds, &utcTime);
    char buffer[40];
    const auto length = std::strftime(buffer, sizeof buffer, "%Y-%m-%dT%H:%M:%S", &utcTime);
    auto fraction = std::to_string(1000 + milliseconds);
    return std::string(buffer, length) + "." + fraction.substr(1) + "Z";
}

} // namespace

void Log::configure(Level level, const std::string &processName)
{
    processNameStorage() = processName;
    auto &target = logger();
    target.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    target.addAppender(appender);
    target.setAdditivity(false);
    target.setLogLevel(toLog4cplusLevel(level));
}

void Log::write(Level level, std::string_view event, std::initializer_list<LogField> fields, const Failure *failure)
{
    auto &target = logger();
    if (!target.isEnabledFor(toLog4cplusLevel(level))) {
        return;
    }
    nlohmann::ordered_json line {
        { "time", currentTimeText() }, { "level", levelName(level) }, { "process", processNameStorage() }, { "event", event }
    };
    for (const auto &field : fields) {
        line[std::string(field.key)] = field.value;
    }
    if (failure != nullptr) {
        line["step"] = name(failure->step);
        line["peer"] = failure->peer;
        line["reason"] = name(failure->reason);
        line["message"] = failure->message;
    }
    target.log(toLog4cplusLevel(level), line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void Log::debug(std::string_view event, std::initializer_list<LogField> fields)
{
    write(Level::Debug, event, fields, nullptr);
}

void Log::info(std::string_view event, std::initializer_list<LogField> fields)
{
    write(Level::Info, event, fields, nullptr);
}

void Log::warning(std::string_view event, std::initializer_list<LogField> fields)
{
    write(Level::Warning, event, fields, nullptr);
}

void Log::error(std::string_view event, std::initializer_list<LogField> fields)
{
    write(Level::Error, event, fields, nullptr);
}

void Log::failure(std::string_view event, const Failure &failure, std::initializer_list<LogField> fields)
{
    write(Level::Warning, event, fields, &failure);
}

} // namespace auburndoor
