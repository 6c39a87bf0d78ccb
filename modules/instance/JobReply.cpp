#include "instance/JobReply.h"

#include "core/BoundedJson.h"
#include "core/Failure.h"
#include "instance/OutcomeReply.h"
#include "jobs/JobExplanation.h"
#include "pipeline/RequestTraces.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace auburndoor {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<const char *, 3> kindNames { "batch", "gang", "service" };

HttpReply makeJsonReply(int status, const Json &json)
{
    return { status, json.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json", {} };
}

Json makeSummary(const Job &job)
{
    const auto count = [&job](TaskPhase phase) {
        return std::count_if(job.tasks.begin(), job.tasks.end(), [phase](const TaskRecord &task) { return task.phase == phase; });
    };
    const auto failures = std::accumulate(
        job.tasks.begin(), job.tasks.end(), 0, [](int sum, const TaskRecord &task) { return sum + task.failures; });
    return { { "id", job.declaration.id.text() },
             { "kind", kindNames.at(static_cast<std::size_t>(job.declaration.kind)) },
             { "team", job.declaration.team.text() },
             { "state", name(job.phase) },
             { "tasks", job.tasks.size() },
             { "running", count(TaskPhase::Assigned) },
             { "done", count(TaskPhase::Done) },
             { "failed", failures },
             { "service", job.declaration.service.text() },
             { "shard", job.shard.text() },
             { "reason", job.reason } };
}

} // namespace

HttpReply JobReply::accepted(const JobId &id, int status)
{
    return makeJsonReply(status, { { "id", id.text() }, { "state", "accepted" } });
}

HttpReply JobReply::unknown(const JobId &id, const Failure &failure)
{
    auto answer = makeRefusalReply(failure);
    answer.status = 504;
    auto json = parseBoundedJson(answer.body);
    json["outcome"] = "unknown";
    json["id"] = id.text();
    answer.body = json.dump();
    answer.headers["Outcome"] = "unknown";
    return answer;
}

HttpReply JobReply::cancelling(const Job &job)
{
    return makeJsonReply(202, { { "id", job.declaration.id.text() }, { "state", name(job.phase) } });
}

HttpReply JobReply::job(const Job &job)
{
    auto json = makeSummary(job);
    json["taskList"] = Json::array();
    for (const auto &task : job.tasks) {
        json["taskList"].push_back({ { "state", name(task.phase) },
                                     { "worker", task.worker.text() },
                                     { "assignments", task.assignments },
                                     { "failures", task.failures },
                                     { "answer", task.answer } });
    }
    return makeJsonReply(200, json);
}

HttpReply JobReply::jobs(const std::vector<Job> &jobs)
{
    auto list = Json::array();
    for (const auto &job : jobs) {
        list.push_back(makeSummary(job));
    }
    return makeJsonReply(200, { { "jobs", list } });
}

HttpReply JobReply::explanation(const JobId &id, const JobExplanation &explanation)
{
    auto lines = Json::array({ explanation.summary });
    for (const auto &line : explanation.tasks) {
        lines.push_back(line);
    }
    return makeJsonReply(200, { { "id", id.text() }, { "state", name(explanation.phase) }, { "explanation", lines } });
}

HttpReply JobReply::trace(const RequestTrace &trace)
{
    const auto &outcome = trace.outcome;
    const auto hasFailed = outcome.status == OutcomeStatus::NotRun || outcome.status == OutcomeStatus::Unknown;
    const auto summary = hasFailed ? outcome.failure.text() : "ran on worker " + outcome.worker.text();
    const auto history = "waited " + std::to_string(outcome.waited.count()) + " ms for room; " + std::to_string(trace.attempts)
                         + " attempt(s)";
    return makeJsonReply(200,
                         { { "id", trace.request.text() },
                           { "state", name(outcome.status) },
                           { "team", trace.team.text() },
                           { "service", trace.service.text() },
                           { "kind", trace.kind },
                           { "explanation", Json::array({ summary, history }) } });
}

} // namespace auburndoor
