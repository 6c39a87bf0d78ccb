#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Collects the events of one job, or of one task and its job, from the logs of entry processes and puts them in the order of time.

    Each log line has the steady time of its machine and a wall time that may jump. The median difference of the two over all lines
    of a process makes the times of several machines comparable. One thread.
*/
class JobTimeline
{
public:
    /** @param name the id of a job, or the name of a task, "JOB.OCCURRENCE.STEP.INDEX": events of other tasks are left out then */
    explicit JobTimeline(const std::string &name);

    /** Reads a log. Lines that are not log lines are only counted. */
    void read(std::istream &log);

    /** Returns true if no log line names the job. */
    bool isEmpty() const;

    /** Returns one line per event, with the milliseconds since the first event; the longest wait between two events is marked. */
    std::string text() const;

    /** Returns the events as a JSON array. */
    std::string json() const;

    /** Returns the number of lines that were not log lines. */
    std::size_t unreadableCount() const
    {
        return unreadableCount_;
    }

private:
    struct Event
    {
        std::string process;
        std::int64_t steadyTime = 0;
        std::string name;
        /** The other fields of the log line, as "name=value". */
        std::string details;
    };
    struct TimedEvent
    {
        /** Milliseconds since the first event of the job. */
        std::int64_t timeMs = 0;
        const Event *event = nullptr;
    };

    /** Returns the events sorted by time, with times relative to the first event. */
    std::vector<TimedEvent> orderEvents() const;

    /** Returns the index of the event that ends the longest wait; 0 if there are fewer than two events. */
    static std::size_t findLongestWait(const std::vector<TimedEvent> &events);

    std::string job_;
    /** The name of the only task whose events are of interest; empty for all tasks of the job. */
    std::string task_;
    std::vector<Event> events_;
    /** The wall time minus the steady time of each log line in milliseconds, by process. */
    std::map<std::string, std::vector<std::int64_t>> clockOffsets_;
    std::size_t unreadableCount_ = 0;
};

} // namespace auburndoor
