#include "cell/HistoryChecker.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

CallRecord makeCall(const std::string &mark, const std::string &outcome, const std::string &requestId, const std::string &key = {})
{
    CallRecord call;
    call.mark = mark;
    call.outcome = outcome;
    call.requestId = requestId;
    call.idempotencyKey = key;
    call.body = outcome == "answered" ? R"({"echo": ")" + mark + R"(", "task": "r"})" : "{}";
    return call;
}

/** Returns the number of violations, and checks that all of them are of the given promise. */
std::size_t countViolations(Promise promise, const CheckResult &result)
{
    INFO(result.text());
    CHECK(result.violations.size() == static_cast<std::size_t>(result.count(promise)));
    return result.violations.size();
}

} // namespace

TEST_CASE("a history that keeps all promises has no violation", "[cellcheck]")
{
    // Guards against false violations: retries, a repeated idempotency key and a moved task are allowed.
    const WorkerHistory workers { { { "w1", "a.0.1", 0, 10 },
                                    { "w2", "a.0.2", 10, 20 },
                                    { "w1", "job/3/1", 0, 50 },
                                    { "w2", "job/3/2", 50, 60 },
                                    { "w2", "job/30/1", 0, -1 } },
                                  {} };
    const auto result = HistoryChecker::check(
        { makeCall("m1", "answered", "a"), makeCall("m2", "not-run", "b", "m2"), makeCall("m2", "answered", "c", "m2") }, workers);
    INFO(result.text());
    CHECK(result.violations.empty());
    CHECK(result.checked.at(Promise::Capacity) == 5);
    CHECK(result.checked.at(Promise::OnePlace) == 5);
    CHECK(result.checked.at(Promise::WholeAnswer) == 2);
    CHECK(result.checked.at(Promise::NotRun) == 1);
    CHECK(result.checked.at(Promise::AtMostOnce) == 1);
}

TEST_CASE("a start that a worker refuses because it exceeds its capacity violates promise 1", "[cellcheck]")
{
    // Guards against an overload that is missed because the worker itself refuses the start.
    WorkerHistory workers;
    HistoryChecker::addWorker("w1",
                              R"({"events": [{"event": "start", "task": "a.0.1", "timeMs": 5},
                                             {"event": "refusal", "task": "b.0.1", "timeMs": 6, "reason": "stale-epoch"},
                                             {"event": "refusal", "task": "c.0.1", "timeMs": 7, "reason": "no-capacity"},
                                             {"event": "end", "task": "a.0.1", "timeMs": 9}]})",
                              workers);
    REQUIRE(workers.runs.size() == 1);
    CHECK(workers.runs.front().endMs == 9);
    CHECK(countViolations(Promise::Capacity, HistoryChecker::check({}, workers)) == 1);
}

TEST_CASE("a worker whose history cannot be read violates promise 1", "[cellcheck]")
{
    // Guards against a pass because a history is missing.
    WorkerHistory workers;
    HistoryChecker::addWorker("w1", "", workers);
    CHECK(countViolations(Promise::Capacity, HistoryChecker::check({}, workers)) == 1);
}

TEST_CASE("work that runs in two places at once violates promise 2", "[cellcheck]")
{
    // Guards against a moved task whose first run has not ended, and against one task id that starts twice.
    using Runs = std::vector<RunRecord>;
    const auto runs = GENERATE(values<Runs>({ Runs { { "w1", "job/3/1", 0, 50 }, { "w2", "job/3/2", 49, 60 } },
                                              Runs { { "w2", "job/3/2", 40, 60 }, { "w1", "job/3/1", 0, -1 } },
                                              Runs { { "w1", "a.0.1", 0, 50 }, { "w2", "a.0.2", 20, 30 } },
                                              Runs { { "w1", "a.0.1", 0, 5 }, { "w1", "a.0.1", 6, 7 } } }));
    CHECK(countViolations(Promise::OnePlace, HistoryChecker::check({}, { runs, {} })) == 1);
}

TEST_CASE("an answer to another request violates promise 3", "[cellcheck]")
{
    // Guards against a check that accepts any answer, a truncated one, or one that merely contains the expected text.
    auto call = makeCall("call-1-1", "answered", "a");
    call.body = GENERATE(as<std::string> {}, R"({"echo": "call-2-1", "task": "r"})", R"({"echo": "call-1-1", "ta)", "", "call-1-1");
    CHECK(countViolations(Promise::WholeAnswer, HistoryChecker::check({ call }, {})) == 1);
}

TEST_CASE("a run of a request that was reported as not run violates promise 4", "[cellcheck]")
{
    // Guards against a check that misses runs of forwarded requests, whose task ids are longer.
    const WorkerHistory workers { { { "w1", GENERATE(as<std::string> {}, "a.0.1", "a.0.1.1.1"), 0, 10 } }, {} };
    CHECK(countViolations(Promise::NotRun, HistoryChecker::check({ makeCall("m1", "not-run", "a") }, workers)) == 1);
}

TEST_CASE("two runs of a request that is not repeatable violate promise 5", "[cellcheck]")
{
    // Guards against a check that misses a second run under another request id, or under the same one.
    const WorkerHistory two { { { "w1", "a.0.1", 0, 10 }, { "w1", "b.0.1", 20, 30 } }, {} };
    const std::vector<CallRecord> both { makeCall("m1", "unknown", "a", "m1"), makeCall("m1", "answered", "b", "m1") };
    CHECK(countViolations(Promise::AtMostOnce, HistoryChecker::check(both, two)) == 1);
    const WorkerHistory retried { { { "w1", "a.0.1", 0, 10 }, { "w1", "a.0.2", 20, 30 } }, {} };
    CHECK(countViolations(Promise::AtMostOnce, HistoryChecker::check({ makeCall("m1", "answered", "a", "m1") }, retried)) == 1);
}

TEST_CASE("a late start on a leaving worker violates promise 6", "[cellcheck]")
{
    // Guards against a check that counts the starts of other workers or ignores the time.
    const WorkerHistory workers { { { "w1", "a.0.1", 100, 110 }, { "w1", "b.0.1", 301, 310 }, { "w2", "c.0.1", 400, 410 } }, {} };
    CHECK(HistoryChecker::checkLeaving(workers, "w1", 301).violations.empty());
    CHECK(countViolations(Promise::Leaving, HistoryChecker::checkLeaving(workers, "w1", 300)) == 1);
    CHECK(HistoryChecker::checkLeaving(workers, "w1", 300).checked.at(Promise::Leaving) == 2);
}

TEST_CASE("a call without a definite outcome at a planned stop violates promise 7", "[cellcheck]")
{
    // Guards against a closed connection or an unknown outcome that passes as a refusal.
    const auto outcome = GENERATE(as<std::string> {}, "broken", "unknown", "malformed");
    const std::vector<CallRecord> calls { makeCall("m1", outcome, "a"),
                                          makeCall("m2", "not-run", "b"),
                                          makeCall("m3", "answered", "c"),
                                          makeCall("m4", "task-failed", "d") };
    CHECK(countViolations(Promise::GracefulStop, HistoryChecker::checkPlannedStop(calls)) == 1);
}
