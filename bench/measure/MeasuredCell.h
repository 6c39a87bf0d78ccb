#pragma once

#include "cell/Cell.h"

#include <string>
#include <vector>

namespace auburndoor {

/** Instances of a measured cell. */
struct MeasuredCellPlan
{
    std::string programs;
    std::string folder;
    int instances = 1;
    CellTimes times;
    /** JSON members of the settings, as for Cell::startInstance(). */
    std::string extraSettings;
};

/** A cell with a declaration of one service and 25 teams, to which workers, jobs and requests are added. One thread. */
class MeasuredCell
{
public:
    /** Starts the platform and the instances, waits until all are ready, and applies the declaration. */
    explicit MeasuredCell(const MeasuredCellPlan &plan);

    /** Starts workers in the failure domain with the given index, 0 to 2. */
    void startWorkers(int domain, int count, int slots = 8);

    /** Waits until all workers are owned. */
    void waitUntilOwned() const;

    /** Submits batch jobs of tasks that run for an hour, and waits until all of them have been started. */
    void addTasks(int jobs, int tasksPerJob);

    /** The declaration with a queue limit by which versions differ. */
    static std::string declaration(int queueLimit);

    /** Applies a declaration. @return true if it was accepted as version expectedVersion + 1 */
    bool apply(const std::string &instance, int queueLimit, long long expectedVersion);

    /** The number of workers that each instance owns. */
    std::vector<int> ownedWorkers() const;

    Cell &cell();

    static constexpr const char *teamToken = "example-token-shortlists";

private:
    double startedTasks();

    Cell cell_;
    int workers_ = 0;
    int jobs_ = 0;
    int tasks_ = 0;
};

} // namespace auburndoor
