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

/** The parts of an instance that JobService works with. */
struct JobServiceParts
{
    Clock &clock;
    Metrics &metrics;
    ConfigurationManager &configuration;
    WorkerManager &workers;
    MembershipView &members;
    JobStore &store;
    JobShardIndex &directory;
    JobRunner &runner;
    RequestTraces &traces;
};

/** Submits, shows, explains and cancels jobs on behalf of callers and operators. Any thread. */
class JobService
{
public:
    explicit JobService(const JobServiceParts &parts);

    HttpReply submitForTeam(const std::string &token, const std::string &idempotencyKey, const std::string &text);
    HttpReply showForTeam(const std::string &token, const JobId &job);

    HttpReply submit(const std::string &idempotencyKey, const std::string &text);
    HttpReply list();
    /** Explains a request of this instance, or a job. */
    HttpReply explain(const std::string &id);
    HttpReply cancel(const JobId &job);

    /** Records a job that is declared in the file, if it is not recorded yet. @return false if that failed and is to be tried again
     */
    bool submitDeclared(const JobDeclaration &job);

    /** Cancels a job that is no longer declared. @return false if that failed and is to be tried again */
    bool cancelDeclared(const JobId &job);

    /** Takes note that a job of a shard has been recorded or changed through another instance. */
    void noticeJob(const ShardId &shard, const JobId &job);

private:
    HttpReply submitParsed(const std::string &idempotencyKey, const std::string &text, const TeamId &team);
    HttpReply submissionReply(const Submission &submission, const JobId &job, const Failure &failure);
    Submission record(const JobDeclaration &job, Failure &failure);
    bool canFit(const JobDeclaration &job, Failure &failure) const;
    void tellOwner(const ShardId &shard, const JobId &job);
    HttpReply refuse(const Failure &failure);
    std::optional<TeamId> teamOf(const std::string &token) const;
    TimePoint deadline() const;

    JobServiceParts parts_;
};

} // namespace auburndoor
