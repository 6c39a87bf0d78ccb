#include "measure/SizeScenarios.h"

#include "measure/RequestLoad.h"

#include <thread>

namespace auburndoor {

namespace {

constexpr std::chrono::milliseconds shortWindowDuration { 3000 };
constexpr int quickWindowDivisor = 2;
/** One renewal period of the leases of a worker. */
constexpr std::chrono::milliseconds workerWindowDuration { 10'000 };
/** A task is queried at intervals of an eighth of its age, and every 10 s from this age on. */
constexpr std::chrono::seconds oldTaskAge { 80 };
/** Wait before the first window, so that claims of workers and first requests are not measured. */
constexpr std::chrono::milliseconds settleDuration { 1000 };
constexpr int largeCellInstances = 8;
constexpr int domainCount = 3;

std::string makeName(const CellLoad &load)
{
    return std::to_string(load.instances) + " instances, " + std::to_string(load.workers) + " workers, "
           + std::to_string(load.tasks) + " tasks, " + std::to_string(static_cast<int>(load.requestsPerSecond)) + " requests/s";
}

} // namespace

SizeScenarios::SizeScenarios(const MeasureOptions &options) : options_(options)
{
}

void SizeScenarios::measureOneInstance()
{
    MeasuredCell cell(makeCellPlan(1));
    CellLoad load;
    measure(cell, load, shortWindowDuration);
    int domain = 0;
    const std::vector<int> workerCounts = options_.isQuick ? std::vector { 350 } : std::vector { 50, 350 };
    for (const auto workers : workerCounts) {
        cell.startWorkers(domain++, workers - load.workers);
        cell.waitUntilOwned();
        load.workers = workers;
        measure(cell, load, workerWindowDuration);
    }
    measureRequests(cell, load, 75, 16);
    measureRequests(cell, load, 300, 48);
}

void SizeScenarios::measureThreeInstances()
{
    if (options_.isQuick) {
        return;
    }
    MeasuredCell cell(makeCellPlan(3));
    CellLoad load;
    load.instances = 3;
    measure(cell, load, shortWindowDuration);
}

void SizeScenarios::measureEightInstances()
{
    eightInstanceCell_ = std::make_unique<MeasuredCell>(makeCellPlan(largeCellInstances));
    eightInstanceLoad_.instances = largeCellInstances;
    measure(*eightInstanceCell_, eightInstanceLoad_, shortWindowDuration);
    const std::vector<int> workers = options_.isQuick ? std::vector { 100, 100, 100 } : std::vector { 467, 467, 466 };
    for (int domain = 0; domain < domainCount; ++domain) {
        eightInstanceCell_->startWorkers(domain, workers[static_cast<std::size_t>(domain)]);
        eightInstanceLoad_.workers += workers[static_cast<std::size_t>(domain)];
    }
    eightInstanceCell_->waitUntilOwned();
    measure(*eightInstanceCell_, eightInstanceLoad_, workerWindowDuration);
    measureRequests(*eightInstanceCell_, eightInstanceLoad_, 600, 8);
    applyTimes_ = ApplyTimes::measure(*eightInstanceCell_, options_.isQuick ? 5 : 20);
    const int jobs = options_.isQuick ? 8 : 24;
    constexpr int tasksPerJob = 250;
    eightInstanceCell_->addTasks(jobs, tasksPerJob);
    eightInstanceLoad_.tasks = jobs * tasksPerJob;
    tasksStartedAt_ = std::chrono::steady_clock::now();
    measure(*eightInstanceCell_, eightInstanceLoad_, shortWindowDuration);
}

void SizeScenarios::measureOldTasks()
{
    if (!options_.isQuick) {
        std::this_thread::sleep_until(tasksStartedAt_ + oldTaskAge);
        measure(*eightInstanceCell_, eightInstanceLoad_, workerWindowDuration);
        loads_.back().load.name += ", old tasks";
    }
    eightInstanceCell_.reset();
}

const std::vector<MeasuredLoad> &SizeScenarios::loads() const
{
    return loads_;
}

const ApplyTimes &SizeScenarios::applyTimes() const
{
    return applyTimes_;
}

void SizeScenarios::measure(MeasuredCell &cell, const CellLoad &load, std::chrono::milliseconds windowDuration)
{
    std::this_thread::sleep_for(settleDuration);
    auto namedLoad = load;
    namedLoad.name = makeName(load);
    const MeasurementPlan plan = options_.isQuick ? MeasurementPlan { 1, windowDuration / quickWindowDivisor }
                                                  : MeasurementPlan { 3, windowDuration };
    loads_.push_back(measureCell(cell.cell(), namedLoad, plan));
}

void SizeScenarios::measureRequests(MeasuredCell &cell, CellLoad load, double perSecond, int callersPerInstance)
{
    load.requestsPerSecond = perSecond;
    RequestPlan plan;
    plan.perSecond = perSecond;
    plan.callersPerInstance = callersPerInstance;
    RequestLoad requests(cell.cell(), plan);
    measure(cell, load, shortWindowDuration);
    loads_.back().requestOutcomes = requests.stop().outcomes;
}

MeasuredCellPlan SizeScenarios::makeCellPlan(int instances) const
{
    MeasuredCellPlan plan;
    plan.programs = options_.programs;
    plan.folder = options_.folder + "/cell-" + std::to_string(instances);
    plan.instances = instances;
    return plan;
}

} // namespace auburndoor
