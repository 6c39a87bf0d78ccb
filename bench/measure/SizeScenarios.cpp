#include "measure/SizeScenarios.h"

#include "measure/RequestLoad.h"

#include <thread>

namespace auburndoor {

namespace {

constexpr std::chrono::milliseconds shortWindow { 3000 };
constexpr int quickShare = 2;
/** The leases of a worker are renewed every 10 s. */
constexpr std::chrono::milliseconds workerWindow { 10'000 };
/** A task is asked after every eighth of its age, and every 10 s from this age on. */
constexpr std::chrono::seconds oldAge { 80 };
/** Lets the claims of workers, or the first requests, pass before a window begins. */
constexpr std::chrono::milliseconds settleTime { 1000 };
constexpr int manyInstances = 8;
constexpr int domainCount = 3;

std::string nameOf(const CellLoad &load)
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
    MeasuredCell cell(planOf(1));
    CellLoad load;
    measure(cell, load, shortWindow);
    int domain = 0;
    const std::vector<int> sizes = options_.isQuick ? std::vector { 350 } : std::vector { 50, 350 };
    for (const auto workers : sizes) {
        cell.startWorkers(domain++, workers - load.workers);
        cell.waitUntilOwned();
        load.workers = workers;
        measure(cell, load, workerWindow);
    }
    measureRequests(cell, load, 75, 16);
    measureRequests(cell, load, 300, 48);
}

void SizeScenarios::measureThreeInstances()
{
    if (options_.isQuick) {
        return;
    }
    MeasuredCell cell(planOf(3));
    CellLoad load;
    load.instances = 3;
    measure(cell, load, shortWindow);
}

void SizeScenarios::measureEightInstances()
{
    eight_ = std::make_unique<MeasuredCell>(planOf(manyInstances));
    eightLoad_.instances = manyInstances;
    measure(*eight_, eightLoad_, shortWindow);
    const std::vector<int> workers = options_.isQuick ? std::vector { 100, 100, 100 } : std::vector { 467, 467, 466 };
    for (int domain = 0; domain < domainCount; ++domain) {
        eight_->startWorkers(domain, workers[static_cast<std::size_t>(domain)]);
        eightLoad_.workers += workers[static_cast<std::size_t>(domain)];
    }
    eight_->waitUntilOwned();
    measure(*eight_, eightLoad_, workerWindow);
    measureRequests(*eight_, eightLoad_, 600, 8);
    applyTimes_ = ApplyTimes::measure(*eight_, options_.isQuick ? 5 : 20);
    const int jobs = options_.isQuick ? 8 : 24;
    constexpr int tasksPerJob = 250;
    eight_->addTasks(jobs, tasksPerJob);
    eightLoad_.tasks = jobs * tasksPerJob;
    tasksStarted_ = std::chrono::steady_clock::now();
    measure(*eight_, eightLoad_, shortWindow);
}

void SizeScenarios::measureOldTasks()
{
    if (!options_.isQuick) {
        std::this_thread::sleep_until(tasksStarted_ + oldAge);
        measure(*eight_, eightLoad_, workerWindow);
        loads_.back().load.name += ", old tasks";
    }
    eight_.reset();
}

const std::vector<MeasuredLoad> &SizeScenarios::loads() const
{
    return loads_;
}

const ApplyTimes &SizeScenarios::applyTimes() const
{
    return applyTimes_;
}

void SizeScenarios::measure(MeasuredCell &cell, const CellLoad &load, std::chrono::milliseconds length)
{
    std::this_thread::sleep_for(settleTime);
    auto named = load;
    named.name = nameOf(load);
    const MeasuringPlan plan = options_.isQuick ? MeasuringPlan { 1, length / quickShare } : MeasuringPlan { 3, length };
    loads_.push_back(measureCell(cell.cell(), named, plan));
}

void SizeScenarios::measureRequests(MeasuredCell &cell, CellLoad load, double perSecond, int callersPerInstance)
{
    load.requestsPerSecond = perSecond;
    RequestPlan plan;
    plan.perSecond = perSecond;
    plan.callersPerInstance = callersPerInstance;
    RequestLoad requests(cell.cell(), plan);
    measure(cell, load, shortWindow);
    loads_.back().requestOutcomes = requests.stop().outcomes;
}

MeasuredCellPlan SizeScenarios::planOf(int instances) const
{
    MeasuredCellPlan plan;
    plan.programs = options_.programs;
    plan.folder = options_.folder + "/cell-" + std::to_string(instances);
    plan.instances = instances;
    return plan;
}

} // namespace auburndoor
