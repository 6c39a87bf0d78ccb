#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "declaration/Declaration.h"
#include "http/HttpMessage.h"
#include "jobs/JobStore.h"

#include <string>

namespace auburndoor {

class Clock;
class ConfigurationManager;
class JobShardIndex;
class JobRunner;
class MembershipView;
class Metrics;
class RequestTraces;
class WorkerManager;

/** The objects that JobService uses. */
struct JobServiceDependencies
{
    Clock &clock;
    Metrics &metrics;
    ConfigurationManager &configuration;
    WorkerManager &workers;
    MembershipView &members;
    JobStore &store;
    JobShardIndex &shardIndex;
    JobRunner &runner;
    RequestTraces &traces;
};

/** Submits, shows, explains and cancels jobs on behalf of callers and operators. Any thread. */
class JobService
{
public:
    explicit JobService(const JobServiceDependencies &dependencies);

    HttpReply submitForTeam(const std::string &token, const std::string &idempotencyKey, const std::string &text);
    HttpReply showForTeam(const std::string &token, const JobId &job);

    HttpReply submit(const std::string &idempotencyKey, const std::string &text);
    HttpReply list();

    /** Explains the outcome of a request that this instance traced, or the state of a job. */
    HttpReply explain(const std::string &id);
    HttpReply cancel(const JobId &job);

    /** Records a job of the declaration if it is not recorded yet. A recorded job with another declaration is logged and left as it
     * is. @return false if the job could not be recorded and the call must be repeated */
    bool submitDeclared(const JobDeclaration &job);

    /** Cancels a job that is no longer declared. @return false if that failed and the call must be repeated */
    bool cancelDeclared(const JobId &job);

    /** Tells the job runner that another instance has recorded or changed a job of the shard. */
    void handleJobNotification(const ShardId &shard, const JobId &job);

private:
    HttpReply submitParsed(const std::string &idempotencyKey, const std::string &text, const TeamId &team);
    HttpReply submissionReply(const Submission &submission, const JobId &job, const Failure &failure);
    Submission record(const JobDeclaration &job, Failure &failure);
    bool canFit(const JobDeclaration &job, Failure &failure) const;
    /** Notifies this instance's job runner and all live peers, since any of them may own the shard. */
    void notifyOwner(const ShardId &shard, const JobId &job);
    HttpReply refuse(const Failure &failure);
    std::optional<TeamId> findTeam(const std::string &token) const;
    /** The deadline of a table operation that starts now. */
    TimePoint tableDeadline() const;

    JobServiceDependencies dependencies_;
};

} // namespace auburndoor
