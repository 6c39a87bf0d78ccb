#pragma once

#include "core/Clock.h"
#include "workload/ClientAccount.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndoor {

/** Response times and permit lifetime of the advisory service for the steps of one queue. */
struct AdvicePolicy
{
    /** The fixed part of the service's response time. */
    std::chrono::duration<double, std::milli> decisionTime { 0 };
    /** What each worker in the request adds to the response time. */
    std::chrono::duration<double, std::milli> timePerWorker { 0 };
    /** How long a worker accepts a permit. */
    Milliseconds permitValidity { 0 };

    bool operator==(const AdvicePolicy &) const = default;
};

/** A queue of jobs: the host and path at which clients reach it, the service that runs its tasks, and its scheduling parameters. */
struct QueueSpec
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    /** The pool whose workers run the tasks. */
    std::string service;
    /** Queues with a lower number are served first; 0 is the most urgent. */
    int priority = 0;
    /** A job fails once one of its tasks has failed this many times. */
    int maxAttempts = 1;
    /** A job is on time if it takes at most slackFactor times its longest chain of estimated run times, plus latencyAllowance. */
    double slackFactor = 1.0;
    Milliseconds latencyAllowance { 0 };
    /** Empty if tasks of this queue need no permit. */
    std::optional<AdvicePolicy> advice;
    /** Calls need no key, and its jobs belong to no account. */
    bool isAnonymous = false;

    bool operator==(const QueueSpec &) const = default;
};

/** A pool of workers. */
struct ServiceSpec
{
    std::string name;
    /** The workers themselves reject tasks that exceed their capacity. */
    bool workersEnforceCapacity = false;
    /** The pool's machines are kept powered off. */
    bool isStandby = false;
};

/** One version of the desired state that the operator has set: the queues and the worker pools. */
struct DesiredState
{
    std::int64_t version = 0;
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;
    std::vector<ClientAccount> accounts;
    /** Calls to queues that are not anonymous need the key of an account. */
    bool requiresKeys = false;
    /** The largest accepted body of a job submission, in bytes. */
    std::size_t maxBodyBytes = 1 << 18;
    /** The longest time for the headers of a client's request to arrive. */
    Milliseconds headerTimeout { 3000 };
    /** A client's request of which nothing arrives for so long is ended. */
    Milliseconds idleTimeout { 15000 };
    /** Positions in queues in the order of names, and in that of hosts; without them all queues are compared. */
    std::vector<std::uint32_t> queuesByName = {};
    std::vector<std::uint32_t> queuesByHost = {};

    /** Fills queuesByName and queuesByHost, so that route() and queue() need not compare all of thousands of queues. */
    void indexQueues();

    /** Finds the queue of this host whose pathPrefix is the longest one that the path begins with; null if no queue matches. */
    const QueueSpec *route(std::string_view host, std::string_view path) const;

    /** Finds a queue by its name; null if there is none. */
    const QueueSpec *queue(std::string_view name) const;

    /** Finds an account by its name; null if there is none. */
    const ClientAccount *account(std::string_view name) const;

    /**
        Finds the account with this key; null if there is none.

        All keys are compared, each in a time that does not depend on how much of it is right.
    */
    const ClientAccount *accountOfKey(std::string_view key) const;
};

} // namespace auburndoor
