#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace auburndoor {

class Metrics;

/** One named value of an event; numbers are written without quotes. */
struct EventField
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t> value;

    EventField(std::string_view key, std::string_view text) : key(key), value(text)
    {
    }
    EventField(std::string_view key, const std::string &text) : key(key), value(std::string_view(text))
    {
    }
    EventField(std::string_view key, const char *text) : key(key), value(std::string_view(text))
    {
    }
    template<typename Number>
    requires std::is_arithmetic_v<Number> EventField(std::string_view key, Number number)
        : key(key), value(static_cast<std::int64_t>(number))
    {
    }
};

/**
    The structured log of an entry process: one JSON object a line on standard output.

    Lines are gathered and written without ever blocking: what the reader does not take in time is dropped and counted. Routine
    lines have a budget a second; events of ownership, stores and refusals are written before it is asked. All members are called
    from the loop's thread.
*/
class EventLog
{
public:
    /** Names this process in each line and makes standard output non-blocking. */
    static void configure(const std::string &processName);

    /**
        Counts each event from now on, whether or not its line is written.

        The counter "events_total" has the event's name, and its "outcome", "why", "how" or "stage" as reason. A field whose name
        ends in "_ms" goes into the histogram "event_milliseconds". Null to stop.
    */
    static void setMetrics(Metrics *metrics);

    /** Writes an event that must not be missing. */
    static void write(std::string_view event, std::initializer_list<EventField> fields);

    /** Writes an event of which there are many; left out and counted when the budget of this second is used up. */
    static void writeRateLimited(std::string_view event, std::initializer_list<EventField> fields);

    /** Hands gathered lines to the system; called about ten times a second. */
    static void flush();

    /** Lines left out since the start. */
    static long long droppedCount();
};

} // namespace auburndoor
