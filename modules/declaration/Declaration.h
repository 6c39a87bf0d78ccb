#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** Priority classes of requests and jobs. When capacity is short, Urgent goes before Normal and Normal before Background. */
enum class Priority {
    Urgent,
    Normal,
    Background,
};

/** A service as declared: requests to it run as tasks on the workers of its pool. */
struct ServiceDeclaration
{
    ServiceId id;
    /** What one request needs on a worker. */
    Resources need;
    Priority priority = Priority::Normal;
    /** The deadline of a request that does not set one. */
    Milliseconds defaultDeadline { 5000 };
    Milliseconds maximumDeadline { 600'000 };
    /** If false, a request runs at most once and must carry an idempotency key. */
    bool isRepeatable = true;
    /** Kinds of work of this service that are not repeatable, regardless of isRepeatable. */
    std::vector<std::string> nonRepeatableKinds;
    /** Maximum number of requests for this service in the queue of one instance. */
    int queueLimit = 1000;
    /** Percentage of an accelerator pool's slots that long work may not occupy. */
    int shortReservePercent = 25;
    /** Work that is expected to run longer than this counts as long. */
    Milliseconds longWork { 2000 };
};

/** A team as declared. */
struct TeamDeclaration
{
    TeamId id;
    /** SHA-256 of the team's token, 64 lower-case hexadecimal digits. */
    std::string tokenDigest;
    /** Weight of the team's fair share, at least 1. */
    int weight = 1;
    /** Maximum resources of the team across the cell. An amount of zero means no limit. */
    Resources quota;
};

enum class JobKind {
    /** Independent tasks, each started when capacity becomes free. */
    Batch,
    /** Tasks that start all together or not at all. */
    Gang,
    /** Tasks that are kept running. */
    Service,
};

/** A job as declared in the file or submitted by a caller. */
struct JobDeclaration
{
    /** Unique in the file; a submitted job gets an identifier from its idempotency key. */
    JobId id;
    JobKind kind = JobKind::Batch;
    TeamId team;
    /** The service whose workers run the tasks. */
    ServiceId service;
    int taskCount = 1;
    /** What one task needs. */
    Resources need;
    Priority priority = Priority::Normal;
    /** The input of each task. */
    std::string body;
    /** How often one task may be started before the job fails. */
    int maximumAttempts = 3;
};

/** The whole declared state of a cell. */
struct Declaration
{
    std::map<ServiceId, ServiceDeclaration> services;
    std::map<TeamId, TeamDeclaration> teams;
    std::map<JobId, JobDeclaration> jobs;
};

/** A declaration in force, with its version. */
struct VersionedDeclaration
{
    /** Rises by one with each accepted file; 0 before the first. */
    long long version = 0;
    /** SHA-256 of the file's text. */
    std::string digest;
    /** The file's text as applied. */
    std::string text;
    Declaration declaration;
};

} // namespace auburndoor
