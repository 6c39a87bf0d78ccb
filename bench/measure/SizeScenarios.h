#pragma once

#include "measure/ApplyTiming.h"
#include "measure/CellMeasurement.h"
#include "measure/MeasuredCell.h"

#include <memory>

namespace auburndoor {

/** Options of all scenarios. */
struct MeasureOptions
{
    std::string programs;
    std::string folder;
    bool isQuick = false;
};

/** Measures cells of one, three and eight instances under increasing load. */
class SizeScenarios
{
public:
    explicit SizeScenarios(const MeasureOptions &options);

    /** Measures one instance with 0 to 350 workers, then with requests. The eight-instance cell covers 175 workers per instance. */
    void measureOneInstance();

    /** Measures an idle cell of three instances; does nothing in a quick run. */
    void measureThreeInstances();

    /** Measures eight instances: idle, with 1,400 workers, with 600 requests per second, during applies, with running tasks. */
    void measureEightInstances();

    /** Measures the same eight instances again once the tasks are old enough to be queried at the longest interval, then stops the
       cell. A quick run only stops it. */
    void measureOldTasks();

    const std::vector<MeasuredLoad> &loads() const;
    const ApplyTimes &applyTimes() const;

private:
    void measure(MeasuredCell &cell, const CellLoad &load, std::chrono::milliseconds windowDuration);
    void measureRequests(MeasuredCell &cell, CellLoad load, double perSecond, int callersPerInstance);
    MeasuredCellPlan makeCellPlan(int instances) const;

    const MeasureOptions options_;
    std::vector<MeasuredLoad> loads_;
    ApplyTimes applyTimes_;
    std::unique_ptr<MeasuredCell> eightInstanceCell_;
    CellLoad eightInstanceLoad_;
    std::chrono::steady_clock::time_point tasksStartedAt_;
};

} // namespace auburndoor
