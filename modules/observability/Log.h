#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace auburndoor {

struct Failure;

/** One named value of a log event. */
struct LogField
{
    std::string_view key;
    std::string value;
};

/**
    Structured log: one event a line, as a JSON object with time, level, instance, event and the event's fields.

    Secrets (tokens, the peer secret) are never passed to it. All members may be called from any thread after configure().
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

    /** Sets the lowest level that is written and the name of this process. Lines go to the standard error stream. */
    static void configure(Level level, const std::string &processName);

    static void debug(std::string_view event, std::initializer_list<LogField> fields = {});
    static void info(std::string_view event, std::initializer_list<LogField> fields = {});
    static void warning(std::string_view event, std::initializer_list<LogField> fields = {});
    static void error(std::string_view event, std::initializer_list<LogField> fields = {});

    /** A warning with the step, peer, reason and message of a failure beside the given fields. */
    static void failure(std::string_view event, const Failure &failure, std::initializer_list<LogField> fields = {});

private:
    static void write(Level level, std::string_view event, std::initializer_list<LogField> fields, const Failure *failure);
};

} // namespace auburndoor
