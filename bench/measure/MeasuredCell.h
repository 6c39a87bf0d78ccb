#pragma once

#include "cell/Cell.h"

#include <string>
#include <vector>

namespace auburndoor {

/** Programs, folder and settings of a measured cell. */
struct MeasuredCellPlan
{
    std::string programs;
    std::string folder;
    int instances = 1;
    CellTimes times;
    /** JSON members of the settings, as for Cell::startInstance(). */
    std::string extraSettings;
};

/** A cell that declares one service and 25 teams, and to which workers and jobs are added. For use by one thread. */
class MeasuredCell
{
public:
    /** Starts the platform and the instances and applies the declaration once all are ready. Throws std::runtime_error. */
    explicit MeasuredCell(const MeasuredCellPlan &plan);

    /** Starts workers in the failure domain with the given index, 0 to 2. */
    void startWorkers(int domain, int count, int slots = 8);

    /** Waits until instances own all workers. Throws std::runtime_error after 30 s. */
    void waitUntilOwned() const;

    /** Submits batch jobs whose tasks run for an hour, and waits until all tasks have been started. Throws std::runtime_error if a
       job is not accepted, or after 30 s of waiting. */
    void addTasks(int jobs, int tasksPerJob);

    /** @return the declaration as JSON; versions differ by their queue limit */
    static std::string makeDeclaration(int queueLimit);

    /** Applies a declaration. @return true if it was accepted as version expectedVersion + 1 */
    bool apply(const std::string &instance, int queueLimit, long long expectedVersion);

    /** Reads the number of workers that each instance owns from its status; 0 for an instance that does not reply. */
    std::vector<int> readOwnedWorkers() const;

    Cell &cell();

    static constexpr const char *teamToken = "example-token-shortlists";

private:
    double readStartedTasks();

    Cell cell_;
    int workers_ = 0;
    int jobs_ = 0;
    int tasks_ = 0;
};

} // namespace auburndoor
