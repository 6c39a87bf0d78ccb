#pragma once

#include "soak/PlatformServer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** Notes all runs of a cell's workers, to explain what the StartChecker has found. */
class RunHistory
{
public:
    explicit RunHistory(PlatformServer &platform);
    RunHistory(const RunHistory &) = delete;
    RunHistory &operator=(const RunHistory &) = delete;

    /** The worker has ended at this moment, with all that ran. */
    void noteGone(const SimulatedWorker &worker);

    /** All runs of a task, one a line: worker, owner's token, start, stop, end, how, and when the end was acknowledged. */
    std::string text(const TaskName &task) const;
    /** As text(), and the lines of the logs that name the job or a worker of the runs, while these were open. */
    std::string explain(const std::string &violation, const std::vector<std::string> &logFiles) const;

private:
    struct RunRecord
    {
        std::string worker;
        std::int64_t incarnation = 0;
        std::int64_t attempt = 0;
        std::int64_t token = 0;
        TimePoint startedAt;
        std::optional<TimePoint> stoppedAt;
        std::optional<TimePoint> endedAt;
        std::string how;
        std::optional<TimePoint> acknowledgedAt;
    };

    RunRecord *find(const SimulatedWorker &worker, const TaskName &task, std::int64_t attempt);
    void noteStarted(const SimulatedWorker &worker, const StartCommand &command, std::int64_t token);
    /** The task that a violation names at its beginning; empty if it names none. */
    std::optional<TaskName> taskOf(const std::string &violation) const;

    PlatformServer &platform_;
    std::map<TaskName, std::vector<RunRecord>> runs_;
};

} // namespace auburndoor
