#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace auburndoor {

struct Failure;

/** One key and value of a log event. */
struct LogField
{
    std::string_view key;
    std::string value;
};

/**
    Structured log: each event is one line with a JSON object that holds the time, level, process, event and the event's fields.

    Callers must not pass secrets, such as tokens or the peer secret. All members may be called from any thread after configure().
*/
class Log
{
public:
    enum class Level {
        Debug,
        Info,
        Warning,
        Error,
        Off,
    };

    /** Sets the lowest level that is written and the process name of each line. Lines go to the standard error stream. */
    static void configure(Level level, const std::string &processName);

    static void debug(std::string_view event, std::initializer_list<LogField> fields = {});
    static void info(std::string_view event, std::initializer_list<LogField> fields = {});
    static void warning(std::string_view event, std::initializer_list<LogField> fields = {});
    static void error(std::string_view event, std::initializer_list<LogField> fields = {});

    /** Logs a warning with the given fields and the step, peer, reason and message of the failure. */
    static void failure(std::string_view event, const Failure &failure, std::initializer_list<LogField> fields = {});

private:
    static void write(Level level, std::string_view event, std::initializer_list<LogField> fields, const Failure *failure);
};

} // namespace auburndoor
