#include "cell/HistoryChecker.h"

#include "cell/Cell.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace auburndoor {

namespace {

/** The request id in a task id such as "request.hop.attempt", or "request.hop.attempt.hop.attempt" after a forward. */
std::string requestOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

/** What may run in one place only: "<job>/<index>" of "<job>/<index>/<assignments>", else the request. */
std::string workOf(const std::string &task)
{
    const auto slash = task.rfind('/');
    return slash == std::string::npos ? requestOf(task) : task.substr(0, slash);
}

long long endOf(const RunRecord &run)
{
    return run.endMs < 0 ? std::numeric_limits<long long>::max() : run.endMs;
}

void checkPlaces(const WorkerHistory &workers, CheckResult &result)
{
    std::map<std::string, std::vector<const RunRecord *>> runsByWork;
    std::set<std::string> tasks;
    for (const auto &run : workers.runs) {
        runsByWork[workOf(run.task)].push_back(&run);
        if (!tasks.insert(run.task).second) {
            result.violations.push_back({ Promise::OnePlace, "task " + run.task + " was started twice" });
        }
    }
    for (auto &[work, runs] : runsByWork) {
        std::sort(runs.begin(), runs.end(), [](const auto *one, const auto *other) { return one->startMs < other->startMs; });
        for (std::size_t index = 1; index < runs.size(); ++index) {
            const auto &before = *runs[index - 1];
            const auto &after = *runs[index];
            if (after.startMs < endOf(before)) {
                result.violations.push_back({ Promise::OnePlace,
                                              after.task + " started on " + after.worker + " at " + std::to_string(after.startMs)
                                                  + " while " + before.task + " ran on " + before.worker + " until "
                                                  + std::to_string(before.endMs) });
            }
        }
    }
    result.checked[Promise::OnePlace] += static_cast<long long>(workers.runs.size());
}

void checkKeys(const std::vector<CallRecord> &calls, const std::map<std::string, int> &runsByRequest, CheckResult &result)
{
    std::map<std::string, int> runsByKey;
    std::map<std::string, std::set<std::string>> requestsByKey;
    for (const auto &call : calls) {
        if (call.idempotencyKey.empty()) {
            continue;
        }
        auto &runs = runsByKey[call.idempotencyKey];
        const auto found = runsByRequest.find(call.requestId);
        if (found != runsByRequest.end() && requestsByKey[call.idempotencyKey].insert(call.requestId).second) {
            runs += found->second;
        }
    }
    for (const auto &[key, count] : runsByKey) {
        if (count > 1) {
            result.violations.push_back(
                { Promise::AtMostOnce, "the non-repeatable request " + key + " ran " + std::to_string(count) + " times" });
        }
    }
    result.checked[Promise::AtMostOnce] += static_cast<long long>(runsByKey.size());
}

} // namespace

WorkerHistory HistoryChecker::read(const std::map<std::string, std::string> &addresses)
{
    WorkerHistory result;
    for (const auto &[id, address] : addresses) {
        const auto reply = Cell::call(address, "GET", "/v1/history", {}, {}, std::chrono::milliseconds(5000));
        addWorker(id, reply ? reply->body : "", result);
    }
    return result;
}

void HistoryChecker::addWorker(const std::string &id, const std::string &history, WorkerHistory &result)
{
    const auto json = nlohmann::json::parse(history, nullptr, false);
    if (!json.is_object()) {
        result.overloads.push_back("the history of " + id + " could not be read");
        return;
    }
    std::vector<RunRecord> runs;
    std::map<std::string, std::size_t> latest;
    for (const auto &event : json.value("events", nlohmann::json::array())) {
        const auto kind = event.value("event", "");
        const auto task = event.value("task", "");
        if (kind == "start") {
            latest[task] = runs.size();
            runs.push_back({ id, task, event.value("timeMs", 0LL), -1 });
        } else if (kind == "end" && latest.contains(task)) {
            runs[latest[task]].endMs = event.value("timeMs", 0LL);
        } else if (kind == "refusal" && event.value("reason", "") == "no-capacity") {
            // The worker guards its capacity itself; that it had to shows that the scheduler gave it too much.
            std::string text = id;
            text.append(" was given task ").append(task).append(" beyond its capacity");
            result.overloads.push_back(std::move(text));
        }
    }
    result.runs.insert(result.runs.end(), runs.begin(), runs.end());
}

CheckResult HistoryChecker::check(const std::vector<CallRecord> &calls, const WorkerHistory &workers)
{
    CheckResult result;
    result.checked[Promise::Capacity] = static_cast<long long>(workers.runs.size())
                                        + static_cast<long long>(workers.overloads.size());
    for (const auto &overload : workers.overloads) {
        result.violations.push_back({ Promise::Capacity, overload });
    }
    checkPlaces(workers, result);
    std::map<std::string, int> runsByRequest;
    for (const auto &run : workers.runs) {
        ++runsByRequest[requestOf(run.task)];
    }
    for (const auto &call : calls) {
        if (call.outcome == "answered") {
            ++result.checked[Promise::WholeAnswer];
            const auto body = nlohmann::json::parse(call.body, nullptr, false);
            if (!body.is_object() || body.value("echo", "") != call.mark) {
                result.violations.push_back({ Promise::WholeAnswer, call.mark + " was answered with " + call.body.substr(0, 200) });
            }
        } else if (call.outcome == "not-run") {
            ++result.checked[Promise::NotRun];
            if (runsByRequest.contains(call.requestId)) {
                result.violations.push_back(
                    { Promise::NotRun,
                      call.mark + " was reported as not run (" + call.reason + "), but its request " + call.requestId + " ran" });
            }
        }
    }
    checkKeys(calls, runsByRequest, result);
    return result;
}

CheckResult HistoryChecker::checkPlannedStop(const std::vector<CallRecord> &calls)
{
    CheckResult result;
    for (const auto &call : calls) {
        ++result.checked[Promise::GracefulStop];
        if (call.outcome != "answered" && call.outcome != "task-failed" && call.outcome != "not-run") {
            result.violations.push_back(
                { Promise::GracefulStop, call.mark + " ended as " + call.outcome + ": " + call.body.substr(0, 300) });
        }
    }
    return result;
}

CheckResult HistoryChecker::checkLeaving(const WorkerHistory &workers, const std::string &worker, long long latestMs)
{
    CheckResult result;
    for (const auto &run : workers.runs) {
        if (run.worker != worker) {
            continue;
        }
        ++result.checked[Promise::Leaving];
        if (run.startMs > latestMs) {
            result.violations.push_back({ Promise::Leaving,
                                          run.task + " started on the leaving worker " + worker + " "
                                              + std::to_string(run.startMs - latestMs) + " ms after the limit" });
        }
    }
    return result;
}

} // namespace auburndoor
