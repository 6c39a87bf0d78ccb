#pragma once

#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

namespace auburndoor {

/** A long task runs on w1, which drains and reports at regular intervals; w2 has room for the task. */
struct DrainingWorkerFixture : OwnerFixture
{
    static constexpr const char *job = "00000000000000aa";
    static constexpr Milliseconds heartbeatInterval { 1500 };
    static constexpr Milliseconds entryLifetime { 4500 };
    /** A lease of 5 s on a clock that is 2% slow, and the time until the next poll notices its end. */
    static constexpr Milliseconds leaseTime { 6000 };

    DrainingWorkerFixture()
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(600000), RunOutcome::Done }; };
        addWorker("w1", 4);
        // More than half of the roster stays within reach of the next owner.
        addWorker("s1", 4, "studio");
        addWorker("s2", 4, "studio");
        takeOver();
        REQUIRE(submit(job, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(500));
        REQUIRE(starts.size() == 1);
        addWorker("w2", 4);
    }

    /** w1 reports that it drains, this many times; the last report is made now. */
    void drain(int reports = 2)
    {
        list("w1", true);
        for (int report = 1; report < reports; ++report) {
            timers.advance(heartbeatInterval);
            list("w1", true);
        }
    }

    /** The directory removes the entry of w1 after three intervals of silence. @param sinceReport the silence so far */
    void expireEntry(Milliseconds sinceReport)
    {
        timers.advance(entryLifetime - sinceReport);
        unlist("w1");
    }

    /** Another writer writes the entry of a worker once more, as it stands. */
    void rewriteEntry(const std::string &id)
    {
        store.write("servers", id, store.row("servers", id)->value);
    }

    /** w1 ends as planned, and its entry with it. */
    void leave()
    {
        fleet.worker("w1").restart();
        fleet.worker("w1").hasExited = true;
        unlist("w1");
    }
};

} // namespace auburndoor
