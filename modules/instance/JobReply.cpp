#include "instance/JobReply.h"

#include "core/Failure.h"
#include "jobs/JobExplanation.h"
#include "pipeline/RequestTraces.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

using Json = nlohmann::ordered_json;

HttpReply reply(int status, const Json &json)
{
    return { status, json.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json", {} };
}

Json summaryOf(const Job &job)
{
    std::map<std::string, int> phases;
    for (const auto &task : job.tasks) {
        ++phases[std::string(name(task.phase))];
    }
    return { { "id", job.declaration.id.text() },
             { "team", job.declaration.team.text() },
             { "service", job.declaration.service.text() },
             { "shard", job.shard.text() },
             { "phase", name(job.phase) },
             { "reason", job.reason },
             { "tasks", phases } };
}

} // namespace

HttpReply JobReply::accepted(const JobId &id, const Job &job, int status)
{
    return reply(status, { { "id", id.text() }, { "phase", name(job.phase) } });
}

HttpReply JobReply::unknown(const JobId &id, const Failure &failure)
{
    return reply(504,
                 { { "outcome", "unknown" },
                   { "id", id.text() },
                   { "step", name(failure.step) },
                   { "peer", failure.peer },
                   { "reason", name(failure.reason) },
                   { "message", failure.message + "; submit the job again with the same key" } });
}

HttpReply JobReply::job(const Job &job)
{
    auto json = summaryOf(job);
    json["taskList"] = Json::array();
    for (const auto &task : job.tasks) {
        json["taskList"].push_back({ { "phase", name(task.phase) },
                                     { "worker", task.worker.text() },
                                     { "assignments", task.assignments },
                                     { "failures", task.failures },
                                     { "answer", task.answer } });
    }
    return reply(200, json);
}

HttpReply JobReply::jobs(const std::vector<Job> &jobs)
{
    auto list = Json::array();
    for (const auto &job : jobs) {
        list.push_back(summaryOf(job));
    }
    return reply(200, { { "jobs", list } });
}

HttpReply JobReply::explanation(const JobId &id, const JobExplanation &explanation)
{
    return reply(200,
                 { { "id", id.text() },
                   { "phase", name(explanation.phase) },
                   { "summary", explanation.summary },
                   { "tasks", explanation.tasks } });
}

HttpReply JobReply::trace(const RequestTrace &trace)
{
    const auto &outcome = trace.outcome;
    const auto hasFailed = outcome.status == OutcomeStatus::NotRun || outcome.status == OutcomeStatus::Unknown;
    return reply(200,
                 { { "id", trace.request.text() },
                   { "team", trace.team.text() },
                   { "service", trace.service.text() },
                   { "kind", trace.kind },
                   { "attempts", trace.attempts },
                   { "outcome", name(outcome.status) },
                   { "worker", outcome.worker.text() },
                   { "waitedMs", outcome.waited.count() },
                   { "summary", hasFailed ? outcome.failure.text() : "ran on worker " + outcome.worker.text() } });
}

} // namespace auburndoor
