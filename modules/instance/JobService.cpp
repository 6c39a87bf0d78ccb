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
constexpr std::size_t maxIdempotencyKeyLength = 96;

bool isWellFormedIdempotencyKey(const std::string &key)
{
    return !key.empty() && key.size() <= maxIdempotencyKeyLength
           && std::all_of(key.begin(), key.end(), [](unsigned char character) {
                  return std::isalnum(character) != 0 || character == '-' || character == '_' || character == ':';
              });
}

} // namespace

JobService::JobService(const JobServiceDependencies &dependencies) : dependencies_(dependencies)
{
}

HttpReply JobService::submitForTeam(const std::string &token, const std::string &idempotencyKey, const std::string &text)
{
    const auto team = findTeam(token);
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
    if (!isWellFormedIdempotencyKey(idempotencyKey)) {
        return refuse({ FailureStep::Parse,
                        {},
                        FailureReason::MissingField,
                        "Idempotency-Key takes 1 to 96 letters, digits and the signs - _ :" });
    }
    ValidationProblems problems;
    const auto configuration = dependencies_.configuration.current();
    auto job = DeclarationParser::parseJob(JobId(idempotencyKey), text, configuration->declaration, problems);
    if (!job) {
        dependencies_.metrics.countRefusal({ FailureStep::Validate, {}, FailureReason::MalformedInput, {} });
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
    const auto deadline = tableDeadline();
    const auto shard = dependencies_.shardIndex.assign(job.id, deadline, failure);
    if (!shard) {
        return { SubmitStatus::NotRecorded, std::nullopt };
    }
    auto submission = dependencies_.store.submit(*shard, job, deadline, failure);
    if (submission.status == SubmitStatus::Recorded) {
        dependencies_.metrics.count("jobs_recorded_total");
        Log::info("job-recorded", { { "job", job.id.text() }, { "team", job.team.text() }, { "shard", shard->text() } });
        notifyOwner(*shard, job.id);
    }
    return submission;
}

bool JobService::submitDeclared(const JobDeclaration &job)
{
    Failure failure;
    const auto submission = record(job, failure);
    if (submission.status == SubmitStatus::DifferentJob) {
        dependencies_.metrics.count("declared_jobs_changed_total");
        Log::warning("declared-job-changed",
                     { { "job", job.id.text() }, { "message", "a recorded job never changes; declare it under a new name" } });
        return true;
    }
    return submission.status == SubmitStatus::Recorded || submission.status == SubmitStatus::AlreadyRecorded;
}

bool JobService::cancelDeclared(const JobId &job)
{
    Failure failure;
    const auto shard = dependencies_.shardIndex.find(job, tableDeadline(), failure);
    if (!shard) {
        return failure.reason == FailureReason::UnknownName;
    }
    if (!dependencies_.store.cancel(*shard, job, tableDeadline(), failure)) {
        return failure.reason == FailureReason::UnknownName;
    }
    notifyOwner(*shard, job);
    return true;
}

bool JobService::canFit(const JobDeclaration &job, Failure &failure) const
{
    std::vector<WorkerCapacity> capacities;
    for (const auto &worker : dependencies_.workers.roster().pool(job.service)) {
        capacities.push_back({ worker.id, worker.service, worker.capacity });
    }
    return canEverFit(job, capacities, failure);
}

HttpReply JobService::showForTeam(const std::string &token, const JobId &id)
{
    const auto team = findTeam(token);
    if (!team) {
        return refuse({ FailureStep::Authenticate, {}, FailureReason::BadCredentials, "the token belongs to no team" });
    }
    Failure failure;
    const auto shard = dependencies_.shardIndex.find(id, tableDeadline(), failure);
    const auto job = shard ? dependencies_.store.load(*shard, id, tableDeadline(), failure) : std::nullopt;
    if (!job) {
        return refuse(failure);
    }
    if (job->declaration.team != *team) {
        // The same reply as for an unknown job, so that a team cannot find out the idempotency keys of other teams.
        return refuse({ FailureStep::ReadTable, "table", FailureReason::UnknownName, "no job \"" + id.text() + "\" is recorded" });
    }
    return JobReply::job(*job);
}

HttpReply JobService::list()
{
    std::vector<Job> jobs;
    for (const auto &shard : dependencies_.shardIndex.shards()) {
        Failure failure;
        const auto loaded = dependencies_.store.loadShard(shard, tableDeadline(), failure);
        if (!loaded) {
            return refuse(failure);
        }
        jobs.insert(jobs.end(), loaded->begin(), loaded->end());
    }
    return JobReply::jobs(jobs);
}

HttpReply JobService::explain(const std::string &id)
{
    if (const auto trace = dependencies_.traces.find(RequestId(id))) {
        return JobReply::trace(*trace);
    }
    const JobId job(id);
    if (const auto explanation = dependencies_.runner.explain(job)) {
        return JobReply::explanation(job, *explanation);
    }
    Failure failure;
    const auto shard = dependencies_.shardIndex.find(job, tableDeadline(), failure);
    const auto loaded = shard ? dependencies_.store.load(*shard, job, tableDeadline(), failure) : std::nullopt;
    return loaded ? JobReply::explanation(job, explainRecord(*loaded)) : refuse(failure);
}

HttpReply JobService::cancel(const JobId &id)
{
    Failure failure;
    const auto shard = dependencies_.shardIndex.find(id, tableDeadline(), failure);
    const auto job = shard ? dependencies_.store.cancel(*shard, id, tableDeadline(), failure) : std::nullopt;
    if (!job) {
        return refuse(failure);
    }
    notifyOwner(*shard, id);
    return JobReply::cancelling(*job);
}

void JobService::handleJobNotification(const ShardId &shard, const JobId &job)
{
    dependencies_.runner.notifyJob(shard, job);
}

/** Failed notifications are ignored: the owner also polls, so that a lost message only delays the job. */
void JobService::notifyOwner(const ShardId &shard, const JobId &job)
{
    dependencies_.runner.notifyJob(shard, job);
    for (const auto &id : dependencies_.members.livePeers()) {
        Failure failure;
        if (const auto peer = dependencies_.members.peer(id)) {
            peer->notifyJob(shard, job, notifyTimeout, failure);
        }
    }
}

HttpReply JobService::refuse(const Failure &failure)
{
    dependencies_.metrics.countRefusal(failure);
    return makeRefusalReply(failure);
}

std::optional<TeamId> JobService::findTeam(const std::string &token) const
{
    const auto digest = Digest::of(token);
    for (const auto &[id, team] : dependencies_.configuration.current()->declaration.teams) {
        if (Digest::isEqual(digest, team.tokenDigest)) {
            return id;
        }
    }
    return std::nullopt;
}

TimePoint JobService::tableDeadline() const
{
    return dependencies_.clock.now() + tableTimeout;
}

} // namespace auburndoor
