#pragma once

#include "measure/ApplyTiming.h"
#include "measure/CellMeasurement.h"
#include "measure/MeasuredCell.h"

#include <memory>

namespace auburndoor {

/** What all scenarios share. */
struct MeasureOptions
{
    std::string programs;
    std::string folder;
    bool isQuick = false;
};

/** Measures one instance and cells of several sizes under growing loads. */
class SizeScenarios
{
public:
    explicit SizeScenarios(const MeasureOptions &options);

    /** One instance with 0 to 350 workers, then with requests; 175 workers are measured at eight instances. */
    void measureOneInstance();

    /** An idle cell of three instances. */
    void measureThreeInstances();

    /** Eight instances: idle, with 1,400 workers, with 600 requests a second, with applies, with running tasks. */
    void measureEightInstances();

    /** The same eight instances again, once the tasks are old enough for the longest period between questions about them. */
    void measureOldTasks();

    const std::vector<MeasuredLoad> &loads() const;
    const ApplyTimes &applyTimes() const;

private:
    void measure(MeasuredCell &cell, const CellLoad &load, std::chrono::milliseconds length);
    void measureRequests(MeasuredCell &cell, CellLoad load, double perSecond, int callersPerInstance);
    MeasuredCellPlan planOf(int instances) const;

    const MeasureOptions options_;
    std::vector<MeasuredLoad> loads_;
    ApplyTimes applyTimes_;
    std::unique_ptr<MeasuredCell> eight_;
    CellLoad eightLoad_;
    std::chrono::steady_clock::time_point tasksStarted_;
};

} // namespace auburndoor
