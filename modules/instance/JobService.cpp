#include "instance/JobService.h"

#include "configuration/ConfigurationManager.h"
#include "core/Failure.h"
#include "declaration/DeclarationParser.h"
#include "declaration/Digest.h"
#include "fleet/WorkerManager.h"
#include "instance/JobReply.h"
#include "instance/OutcomeReply.h"
#include "jobs/JobExplanation.h"
#include "jobs/JobFit.h"
#include "jobs/JobRunner.h"
#include "jobs/JobShardIndex.h"
#include "membership/MembershipView.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "peer/Peer.h"
#include "pipeline/RequestTraces.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds tableTimeout { 5000 };
constexpr Milliseconds notifyTimeout { 300 };
constexpr std::size_t longestKey = 96;

bool isWellFormedKey(const std::string &key)
{
    return !key.empty() && key.size() <= longestKey && std::all_of(key.begin(), key.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == ':';
    });
}

} // namespace

JobService::JobService(const JobServiceParts &parts) : parts_(parts)
{
}

HttpReply JobService::submitForTeam(const std::string &token, const std::string &idempotencyKey, const std::string &text)
{
    const auto team = teamOf(token);
    if (!team) {
        return refuse({ FailureStep::Authenticate, {}, FailureReason::BadCredentials, "the token belongs to no team" });
    }
    return submitParsed(idempotencyKey, text, *team);
}

HttpReply JobService::submit(const std::string &idempotencyKey, const std::string &text)
{
    return submitParsed(idempotencyKey, text, {});
}

HttpReply JobService::submitParsed(const std::string &idempotencyKey, const std::string &text, const TeamId &team)
{
    if (!isWellFormedKey(idempotencyKey)) {
        return refuse({ FailureStep::Parse,
                        {},
                        FailureReason::MissingField,
                        "Idempotency-Key takes 1 to 96 letters, digits and the signs - _ :" });
    }
    ValidationProblems problems;
    const auto configuration = parts_.configuration.current();
    auto job = DeclarationParser::parseJob(JobId(idempotencyKey), text, configuration->declaration, problems);
    if (!job) {
        parts_.metrics.countRefusal({ FailureStep::Validate, {}, FailureReason::MalformedInput, {} });
        return { 422, toJson(problems), "application/json", {} };
    }
    if (!team.isEmpty() && job->team != team) {
        return refuse({ FailureStep::Authenticate,
                        {},
                        FailureReason::BadCredentials,
                        "the token is not one of team \"" + job->team.text() + "\"" });
    }
    job->id = JobShardIndex::submittedId(job->team, idempotencyKey);
    Failure failure;
    if (!canFit(*job, failure)) {
        return refuse(failure);
    }
    const auto submission = record(*job, failure);
    return submissionReply(submission, job->id, failure);
}

HttpReply JobService::submissionReply(const Submission &submission, const JobId &job, const Failure &failure)
{
    switch (submission.status) {
    case SubmitStatus::Recorded:
        return JobReply::accepted(job, 202);
    case SubmitStatus::AlreadyRecorded:
        return JobReply::accepted(job, 200);
    case SubmitStatus::DifferentJob:
        return refuse(
            { FailureStep::Record, "table", FailureReason::DuplicateKey, "another job was submitted with this idempotency key" });
    case SubmitStatus::NotRecorded:
        return refuse(failure);
    case SubmitStatus::Unknown:
        break;
    }
    return JobReply::unknown(job, failure);
}

Submission JobService::record(const JobDeclaration &job, Failure &failure)
{
    const auto until = deadline();
    const auto shard = parts_.directory.assign(job.id, until, failure);
    if (!shard) {
        return { SubmitStatus::NotRecorded, std::nullopt };
    }
    auto submission = parts_.store.submit(*shard, job, until, failure);
    if (submission.status == SubmitStatus::Recorded) {
        parts_.metrics.count("jobs_recorded_total");
        Log::info("job-recorded", { { "job", job.id.text() }, { "team", job.team.text() }, { "shard", shard->text() } });
        tellOwner(*shard, job.id);
    }
    return submission;
}

bool JobService::submitDeclared(const JobDeclaration &job)
{
    Failure failure;
    const auto submission = record(job, failure);
    if (submission.status == SubmitStatus::DifferentJob) {
        parts_.metrics.count("declared_jobs_changed_total");
        Log::warning("declared-job-changed",
                     { { "job", job.id.text() }, { "message", "a recorded job never changes; declare it under a new name" } });
        return true;
    }
    return submission.status == SubmitStatus::Recorded || submission.status == SubmitStatus::AlreadyRecorded;
}

bool JobService::cancelDeclared(const JobId &job)
{
    Failure failure;
    const auto shard = parts_.directory.find(job, deadline(), failure);
    if (!shard) {
        return failure.reason == FailureReason::UnknownName;
    }
    if (!parts_.store.cancel(*shard, job, deadline(), failure)) {
        return failure.reason == FailureReason::UnknownName;
    }
    tellOwner(*shard, job);
    return true;
}

bool JobService::canFit(const JobDeclaration &job, Failure &failure) const
{
    std::vector<WorkerCapacity> capacities;
    for (const auto &worker : parts_.workers.roster().pool(job.service)) {
        capacities.push_back({ worker.id, worker.service, worker.capacity });
    }
    return canEverFit(job, capacities, failure);
}

HttpReply JobService::showForTeam(const std::string &token, const JobId &id)
{
    const auto team = teamOf(token);
    if (!team) {
        return refuse({ FailureStep::Authenticate, {}, FailureReason::BadCredentials, "the token belongs to no team" });
    }
    Failure failure;
    const auto shard = parts_.directory.find(id, deadline(), failure);
    const auto job = shard ? parts_.store.load(*shard, id, deadline(), failure) : std::nullopt;
    if (!job) {
        return refuse(failure);
    }
    if (job->declaration.team != *team) {
        // As for an unknown job, so that a team learns nothing of the others' keys.
        return refuse({ FailureStep::ReadTable, "table", FailureReason::UnknownName, "no job \"" + id.text() + "\" is recorded" });
    }
    return JobReply::job(*job);
}

HttpReply JobService::list()
{
    std::vector<Job> jobs;
    for (const auto &shard : parts_.directory.shards()) {
        Failure failure;
        const auto loaded = parts_.store.loadShard(shard, deadline(), failure);
        if (!loaded) {
            return refuse(failure);
        }
        jobs.insert(jobs.end(), loaded->begin(), loaded->end());
    }
    return JobReply::jobs(jobs);
}

HttpReply JobService::explain(const std::string &id)
{
    if (const auto trace = parts_.traces.find(RequestId(id))) {
        return JobReply::trace(*trace);
    }
    const JobId job(id);
    if (const auto explanation = parts_.runner.explain(job)) {
        return JobReply::explanation(job, *explanation);
    }
    Failure failure;
    const auto shard = parts_.directory.find(job, deadline(), failure);
    const auto loaded = shard ? parts_.store.load(*shard, job, deadline(), failure) : std::nullopt;
    return loaded ? JobReply::explanation(job, explainRecord(*loaded)) : refuse(failure);
}

HttpReply JobService::cancel(const JobId &id)
{
    Failure failure;
    const auto shard = parts_.directory.find(id, deadline(), failure);
    const auto job = shard ? parts_.store.cancel(*shard, id, deadline(), failure) : std::nullopt;
    if (!job) {
        return refuse(failure);
    }
    tellOwner(*shard, id);
    return JobReply::cancelling(*job);
}

void JobService::noticeJob(const ShardId &shard, const JobId &job)
{
    parts_.runner.notifyJob(shard, job);
}

/** The owner also polls, so that a message that is lost costs time only. */
void JobService::tellOwner(const ShardId &shard, const JobId &job)
{
    parts_.runner.notifyJob(shard, job);
    for (const auto &id : parts_.members.livePeers()) {
        Failure failure;
        if (const auto peer = parts_.members.peer(id)) {
            peer->notifyJob(shard, job, notifyTimeout, failure);
        }
    }
}

HttpReply JobService::refuse(const Failure &failure)
{
    parts_.metrics.countRefusal(failure);
    return refusalReply(failure);
}

std::optional<TeamId> JobService::teamOf(const std::string &token) const
{
    const auto digest = Digest::of(token);
    for (const auto &[id, team] : parts_.configuration.current()->declaration.teams) {
        if (Digest::isEqual(digest, team.tokenDigest)) {
            return id;
        }
    }
    return std::nullopt;
}

TimePoint JobService::deadline() const
{
    return parts_.clock.now() + tableTimeout;
}

} // namespace auburndoor
