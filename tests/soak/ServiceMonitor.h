#pragma once

#include "fakes/SimulatedWorker.h"
#include "net/HttpChannels.h"
#include "workload/WorkerEntry.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

class ProcessCell;

/**
    Submits a job of tasks that last to a cell and checks what its users rely on while any of its processes reaches store and
   workers.

    No task that lasts is without a run for over 6 s, and no running process turns its callers away for longer than a takeover may
    take, whether they submit short jobs or ask for the state of the one that lasts. All members are called from the loop's thread.
*/
class ServiceMonitor
{
public:
    /** The users' rule LOST counts a task that lasts from this time after its last run on. */
    static constexpr Milliseconds maxTimeWithoutRun { 6000 };
    /** The users' bound contactMs on their deployments with some 40 entry machines: a loss is noticed and made up for. */
    static constexpr Milliseconds maxTimeWithoutAnswer { 4000 };

    explicit ServiceMonitor(ProcessCell &cell);
    ~ServiceMonitor();

    /** The work of the workers' runs: tasks of the monitor's job that lasts run for an hour, others for 0.1 s. */
    static SimulatedWork planWork(const TaskName &task);

    /** Submits the job of tasks that last, and waits until they run. @return false if they do not within 10 s */
    bool startServices();

    /** False while the store is away for all, so that no process can accept a job. */
    void expectSubmissions(bool areExpected);

    /** Begins to check, at intervals of 50 ms. */
    void start();

    /** A text for each task or process that was over its bound; each time without run or answer counts once. */
    std::vector<std::string> violations() const;

    /** The longest times so far, for the record. */
    Milliseconds longestTimeWithoutRun() const;
    Milliseconds longestTimeWithoutAnswer() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
