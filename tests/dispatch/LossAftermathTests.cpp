#include "dispatch/Fleet.h"
#include "fakes/AdoptingFleetListener.h"
#include "fakes/ManualTimers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

using namespace auburndoor;

namespace {

/** The requests to one worker, which the test answers, and the end of its leases, which the test sets. */
struct HeldWorker
{
    std::vector<WorkerClient::CommandCallback> starts;
    std::vector<WorkerClient::ReportCallback> reports;
    std::vector<std::int64_t> acknowledgements;
    TimePoint leaseEnd;
};

class HeldWorkerClient : public WorkerClient
{
public:
    explicit HeldWorkerClient(HeldWorker &worker) : worker_(worker)
    {
    }

    void start(const StartCommand &, Milliseconds, CommandCallback callback) override
    {
        worker_.starts.push_back(std::move(callback));
    }
    void stop(const TaskName &, std::int64_t, CommandCallback) override
    {
    }
    void throttle(const TaskName &, std::int64_t, int, CommandCallback) override
    {
    }
    void renewLeases(std::int64_t acknowledgement, Milliseconds, Milliseconds, ReportCallback callback) override
    {
        worker_.acknowledgements.push_back(acknowledgement);
        worker_.reports.push_back(std::move(callback));
    }
    TimePoint leaseEnd() const override
    {
        return worker_.leaseEnd;
    }
    void update(const WorkerEntry &) override
    {
    }

private:
    HeldWorker &worker_;
};

class HeldWorkerClientFactory : public WorkerClientFactory
{
public:
    std::unique_ptr<WorkerClient> create(const WorkerEntry &, std::int64_t) override
    {
        return std::make_unique<HeldWorkerClient>(worker);
    }

    HeldWorker worker;
};

/** Keeps what is to be called once an end is stored. */
class SlowStoreListener : public AdoptingFleetListener
{
public:
    void runEnded(const std::string &, const EndedTask &, std::function<void()> recorded) override
    {
        unstored.push_back(std::move(recorded));
    }

    std::vector<std::function<void()>> unstored;
};

RunKey key(int index)
{
    return { { "00000000000000aa", 0, 0, index }, 1 };
}

/** A fleet with one worker, whose ends are not stored until the test says so. */
struct HeldFleet
{
    HeldFleet()
        : evidence(timers, EvidenceTiming(), CallTime::now(timers)), fleet(timers, factory, listener, FleetTiming(), 1, evidence)
    {
        WorkerEntry entry;
        entry.id = "w1";
        entry.incarnation = 1;
        worker().leaseEnd = timers.now() + std::chrono::hours(1);
        fleet.setEntry(entry);
        timers.advance(Milliseconds(1));
        answer({}, {});
    }

    HeldWorker &worker()
    {
        return factory.worker;
    }
    void start(int index)
    {
        StartCommand command;
        command.task = key(index).task;
        command.attempt = 1;
        fleet.start("w1", command, {});
        timers.advance(Milliseconds(5));
    }
    void answerStart(CommandOutcome outcome)
    {
        auto callback = worker().starts.back();
        callback({ outcome, {} });
        timers.advance(Milliseconds(5));
    }
    /** Answers all open requests for reports. */
    void answer(const std::vector<int> &running, const std::vector<EndedTask> &ended)
    {
        TaskReport report;
        report.incarnation = 1;
        for (const int index : running) {
            report.running.push_back({ key(index).task, 1, {}, 10, -1 });
        }
        report.ended = ended;
        for (const auto &callback : std::exchange(worker().reports, {})) {
            callback({ CommandOutcome::Accepted, {} }, report);
        }
        timers.advance(Milliseconds(5));
    }
    /** Leaves all open requests for reports without an answer. */
    void fail()
    {
        for (const auto &callback : std::exchange(worker().reports, {})) {
            callback({ CommandOutcome::Unknown, {} }, {});
        }
        timers.advance(Milliseconds(300));
    }

    ManualTimers timers;
    HeldWorkerClientFactory factory;
    SlowStoreListener listener;
    OwnershipEvidence evidence;
    Fleet fleet;
};

} // namespace

// Guards against an end that is acknowledged before it is stored: a silent worker whose other leases are over is kept for the start
// without an answer, and is then told that its ends are stored.
TEST_CASE("an end that is not stored is not acknowledged after a silence", "[loss]")
{
    const bool hasUnansweredStart = GENERATE(true, false);
    CAPTURE(hasUnansweredStart);
    HeldFleet cell;
    cell.start(0);
    cell.answerStart(CommandOutcome::Accepted);
    cell.answer({ 0 }, {});
    cell.timers.advance(Milliseconds(600));
    cell.answer({}, { { 1, key(0).task, 1, RunOutcome::Done, {} } });
    REQUIRE(cell.listener.unstored.size() == 1);
    if (hasUnansweredStart) {
        cell.start(1);
        cell.answerStart(CommandOutcome::Unknown);
    }
    cell.worker().leaseEnd = cell.timers.now();
    cell.fleet.removeEntry("w1", std::nullopt);
    for (int poll = 0; poll < 14; ++poll) {
        cell.evidence.noteStoreConfirmation(CallTime::now(cell.timers));
        cell.timers.advance(Milliseconds(300));
        cell.fail();
    }
    WorkerEntry entry;
    entry.id = "w1";
    entry.incarnation = 1;
    cell.worker().acknowledgements.clear();
    cell.fleet.setEntry(entry);
    for (int poll = 0; poll < 6; ++poll) {
        cell.timers.advance(Milliseconds(600));
        cell.answer({}, { { 1, key(0).task, 1, RunOutcome::Done, {} } });
    }
    REQUIRE(cell.worker().acknowledgements.size() > 1);
    CHECK(*std::max_element(cell.worker().acknowledgements.begin(), cell.worker().acknowledgements.end()) == 0);
}

// Guards against one request for a report for each run that a report leaves out: each counts as a probe of the worker.
TEST_CASE("one more report is requested after a report that leaves out several runs", "[loss]")
{
    constexpr int runs = 20;
    HeldFleet cell;
    std::vector<int> all;
    for (int index = 0; index < runs; ++index) {
        cell.start(index);
        cell.answerStart(CommandOutcome::Accepted);
        all.push_back(index);
    }
    cell.answer(all, {});
    cell.timers.advance(Milliseconds(600));
    cell.answer({}, {});
    REQUIRE(static_cast<int>(cell.listener.lost.size()) == runs);
    cell.worker().acknowledgements.clear();
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.worker().acknowledgements.size() <= 2);
}
