#include "cell/HistoryChecker.h"

#include "cell/Cell.h"

#include <nlohmann/json.hpp>

#include <set>

namespace auburndoor {

namespace {

/** The request id in a task id such as "request.hop.attempt", or "request.hop.attempt.hop.attempt" after a forward. */
std::string requestOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

void readWorker(const std::string &id, const nlohmann::json &history, WorkerHistory &result)
{
    std::map<std::string, RunRecord> runs;
    for (const auto &event : history.value("events", nlohmann::json::array())) {
        const auto kind = event.value("event", "");
        const auto task = event.value("task", "");
        if (kind == "start") {
            runs[task] = { id, task, {}, event.value("timeMs", 0LL), -1 };
        } else if (kind == "end" && runs.contains(task)) {
            runs[task].endMs = event.value("timeMs", 0LL);
        } else if (kind == "refusal" && event.value("reason", "") == "no-capacity") {
            // The worker guards its capacity itself; that it had to shows that the scheduler gave it too much.
            std::string text = id;
            text.append(" was given task ").append(task).append(" beyond its capacity");
            result.overloads.push_back(std::move(text));
        }
    }
    for (const auto &[task, run] : runs) {
        result.runs.push_back(run);
    }
}

} // namespace

WorkerHistory HistoryChecker::read(const std::map<std::string, std::string> &addresses)
{
    WorkerHistory result;
    for (const auto &[id, address] : addresses) {
        const auto reply = Cell::call(address, "GET", "/v1/history", {}, {}, std::chrono::milliseconds(5000));
        const auto history = nlohmann::json::parse(reply ? reply->body : "", nullptr, false);
        if (!history.is_object()) {
            result.overloads.push_back("the history of " + id + " could not be read");
            continue;
        }
        readWorker(id, history, result);
    }
    return result;
}

std::vector<std::string> HistoryChecker::check(const std::vector<CallRecord> &calls, const WorkerHistory &workers)
{
    auto violations = workers.overloads;
    std::map<std::string, int> runsByRequest;
    std::set<std::string> tasks;
    for (const auto &run : workers.runs) {
        ++runsByRequest[requestOf(run.task)];
        if (!tasks.insert(run.task).second) {
            violations.push_back("task " + run.task + " ran in two places");
        }
    }
    std::map<std::string, int> runsByKey;
    std::map<std::string, std::set<std::string>> requestsByKey;
    for (const auto &call : calls) {
        if (call.outcome == "answered" && call.body.find("\"" + call.mark + "\"") == std::string::npos) {
            violations.push_back(call.mark + " was answered with " + call.body.substr(0, 200));
        }
        if (call.outcome == "not-run" && runsByRequest.contains(call.requestId)) {
            violations.push_back(call.mark + " was reported as not run (" + call.reason + "), but its request " + call.requestId
                                 + " ran");
        }
        if (!call.idempotencyKey.empty() && !call.requestId.empty()
            && requestsByKey[call.idempotencyKey].insert(call.requestId).second) {
            runsByKey[call.idempotencyKey] += runsByRequest.contains(call.requestId) ? runsByRequest[call.requestId] : 0;
        }
    }
    for (const auto &[key, count] : runsByKey) {
        if (count > 1) {
            violations.push_back("the non-repeatable request " + key + " ran " + std::to_string(count) + " times");
        }
    }
    return violations;
}

} // namespace auburndoor
