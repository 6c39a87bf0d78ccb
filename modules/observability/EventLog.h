#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace auburndoor {

class Metrics;

/** One key and value of an event. Numbers are converted to integers and written without quotes. */
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

    Lines are buffered and written without blocking. An event that finds the buffer full, because the reader of standard output is
    too slow, is dropped and counted. Frequent events are also limited to a number of lines per second; events about ownership,
    the store and refusals are exempt from this limit. All members must be called from the event loop's thread.
*/
class EventLog
{
public:
    /** Sets the process name written in each line, makes standard output non-blocking and starts the writing of lines. */
    static void configure(const std::string &processName);

    /**
        Counts each later event in these metrics, whether or not its line is written; null stops the counting.

        The counter "events_total" has the event's name as label "event", and the text of its field "outcome", "why", "how" or
        "stage" as label "reason". The number in a field whose name ends in "_ms" is added to the histogram "event_milliseconds".
    */
    static void setMetrics(Metrics *metrics);

    /** Writes an event that is exempt from the limit per second; it is dropped only if the buffer is full. */
    static void write(std::string_view event, std::initializer_list<EventField> fields);

    /** Writes a frequent event; it is dropped and counted once the limit of the current second is reached. */
    static void writeRateLimited(std::string_view event, std::initializer_list<EventField> fields);

    /** Writes as many buffered lines to standard output as it takes without blocking; to be called about ten times a second. */
    static void flush();

    /** The number of lines dropped since the process started. */
    static long long droppedCount();
};

} // namespace auburndoor
