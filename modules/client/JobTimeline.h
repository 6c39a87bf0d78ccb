#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    What the logs of entry processes tell of one job, in order.

    Each line has a steady time of its machine and a wall time that may jump. The usual distance of the two, over all lines of a
    process, orders the lines of several machines. One thread.
*/
class JobStory
{
public:
    explicit JobStory(std::string job);

    /** Reads lines; those that are no log lines are counted. */
    void read(std::istream &log);

    /** True if no line names the job. */
    bool isEmpty() const;

    /** A line for each event, with milliseconds since the first one; the longest wait is marked. */
    std::string text() const;

    /** The same as a JSON array. */
    std::string json() const;

    /** Lines that could not be read. */
    std::size_t unreadableCount() const
    {
        return unreadable_;
    }

private:
    struct Event
    {
        std::string process;
        std::int64_t steadyTime = 0;
        std::string name;
        /** The other fields, as they stand in the line. */
        std::string details;
    };
    struct TimedEvent
    {
        std::int64_t at = 0;
        const Event *event = nullptr;
    };

    std::vector<TimedEvent> ordered() const;
    static std::size_t longestWait(const std::vector<TimedEvent> &events);

    std::string job_;
    std::vector<Event> events_;
    /** By process, the wall time less the steady time of each of its lines. */
    std::map<std::string, std::vector<std::int64_t>> offsets_;
    std::size_t unreadable_ = 0;
};

} // namespace auburndoor
