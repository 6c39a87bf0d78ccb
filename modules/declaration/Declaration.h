#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** Order of classes when room is short: Urgent before Normal before Background. */
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
    /** The deadline of requests that bring none. */
    Milliseconds defaultDeadline { 5000 };
    Milliseconds maximumDeadline { 600'000 };
    /** False: a request runs at most once and must bring an idempotency key. */
    bool isRepeatable = true;
    /** Names of kinds of work of this service that are not repeatable, whatever isRepeatable says. */
    std::vector<std::string> nonRepeatableKinds;
    /** Requests that one instance holds in its queue for this service. */
    int queueLimit = 1000;
    /** Share of an accelerator pool's slots that long work may not fill, in percent. */
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
    /** Upper limit over the cell; zero amounts mean no limit. */
    Resources quota;
};

enum class JobKind {
    /** Independent tasks, started as room appears. */
    Batch,
    /** Tasks that start all at once or not at all. */
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
    /** Whose workers run it. */
    ServiceId service;
    int taskCount = 1;
    /** What one task needs. */
    Resources need;
    Priority priority = Priority::Normal;
    /** What each task is to work on. */
    std::string body;
    /** Starts of one task before the job fails. */
    int maximumAttempts = 3;
};

/** The whole declared state of a cell. */
struct Declaration
{
    std::map<ServiceId, ServiceDeclaration> services;
    std::map<TeamId, TeamDeclaration> teams;
    std::map<JobId, JobDeclaration> jobs;
};

/** A declaration in force, with its place in the order of accepted ones. */
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
