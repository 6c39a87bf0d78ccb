#include "dispatch/OwnerFixture.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

/** A cell whose events are counted. */
struct CountedCell : OwnerFixture
{
    CountedCell()
    {
        EventLog::setMetrics(&metrics);
        addWorker("w1", 8);
        // More than half of the roster stays within reach of the next owner.
        addWorker("s1", 8, "studio");
        addWorker("s2", 8, "studio");
        takeOver();
        REQUIRE(submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(100));
    }
    ~CountedCell()
    {
        EventLog::setMetrics(nullptr);
    }
    long long count(const std::string &event) const
    {
        return metrics.counter("events_total", "event=" + event);
    }

    Metrics metrics;
};

} // namespace

// Guards against a record that does not show that an owner went on without the store, and against a line for each maintenance.
TEST_CASE("an owner logs that the store has not confirmed its ownership for long, and that it confirms it again")
{
    CountedCell cell;
    cell.store.setDown(true);
    cell.timers.advance(Milliseconds(5000));
    CHECK(cell.count("owner.unconfirmed") == 2);
    cell.store.setDown(false);
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.count("owner.confirmed") == 1);
    CHECK(cell.metrics.quantile("event_milliseconds", 1, "event=owner.confirmed,field=away_ms") >= Milliseconds(5000));
}

// Guards against a record that does not show why an owner has stopped starting tasks.
TEST_CASE("an owner without the store and its workers logs the end of its permission")
{
    CountedCell cell;
    cell.store.setDown(true);
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.count("owner.permission_ended") == 0);
    for (const auto &[id, worker] : cell.fleet.workers()) {
        worker->isCutOff = true;
    }
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.count("owner.permission_ended") == 1);
    cell.store.setDown(false);
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.count("owner.permission_regained") == 1);
}

// Guards against a record that does not show how a new owner's wait for an unread worker ended, and when a lost lease had ended.
TEST_CASE("a new owner logs its wait for an unread worker, and the loss of a worker with its times")
{
    const bool isHealed = GENERATE(true, false);
    CountedCell cell;
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(isHealed ? 0 : 8000));
    const auto silence = cell.metrics.quantile("event_milliseconds", 1, "event=worker.lost,field=silent_ms");
    CHECK((silence >= Milliseconds(3000)) == !isHealed);
    cell.takeOver();
    CHECK(cell.count("takeover.waiting") == 1);
    cell.fleet.worker("w1").isCutOff = !isHealed;
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.count(std::string("takeover.wait_over,reason=") + (isHealed ? "read" : "leases ended")) == 1);
}
