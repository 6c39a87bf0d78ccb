#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <span>
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

    Lines are buffered and written without blocking. An event that finds no room in the buffer, because the reader of the log is too
    slow, is dropped and counted. A part of the buffer is reserved for events that come in bursts, such as losses, and another one
   for rare events, so that routine events cannot displace them. Routine events and bursts are each limited to a number of lines per
    second. Once there is room again, an event "log.dropped" tells how many lines were dropped. All members must be called from the
    event loop's thread.
*/
class EventLog
{
public:
    /**
        Sets the process name written in each line, makes the output non-blocking and starts the writing of lines.

        @param descriptor the file descriptor that lines are written to; standard output by default. It stays the caller's.
    */
    static void configure(const std::string &processName, int descriptor = 1);

    /**
        Counts each later event in these metrics, whether or not its line is written; null stops the counting.

        The counter "events_total" has the event's name as label "event", and the text of the first of its fields "outcome", "why",
        "how" and "stage" as label "reason". The counter "log_lines_dropped_total" has the labels "kind" ("routine", "burst" or
        "rare") and "reason" ("limit" or "no room"). The number in a field whose name ends in "_ms" is added to the histogram
       "event_milliseconds".
    */
    static void setMetrics(Metrics *metrics);

    /** Writes a rare event about the process, the store, a worker or the ownership; it is dropped only if the buffer is full. */
    static void write(std::string_view event, std::initializer_list<EventField> fields);

    /**
        Writes an event about one task that tells of a loss or of a change of what is known, such as "run.lost". Such events come in
        bursts; they have a limit per second and a reserve of the buffer of their own.
    */
    static void writeBurst(std::string_view event, std::initializer_list<EventField> fields);
    static void writeBurst(std::string_view event, std::span<const EventField> fields);

    /** Writes a routine event, such as one for each start of a task; it is dropped once the limit of the second is reached. */
    static void writeRateLimited(std::string_view event, std::initializer_list<EventField> fields);
    static void writeRateLimited(std::string_view event, std::span<const EventField> fields);

    /** Writes as many buffered lines as the reader takes without blocking; to be called about ten times a second. */
    static void flush();

    /**
        Writes all buffered lines and ends the writing of lines; for the end of the process.

        @param maxDuration how long to wait for the reader
        @return            false if lines are left that the reader has not taken
    */
    static bool close(std::chrono::milliseconds maxDuration);

    /** The number of lines dropped since the process started. */
    static long long droppedCount();
};

} // namespace auburndoor
