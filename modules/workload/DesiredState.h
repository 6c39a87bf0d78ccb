#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndoor {

/** What an advisory service needs to say which workers a step may use. */
struct AdvicePolicy
{
    /** The fixed part of its response time. */
    std::chrono::duration<double, std::milli> decisionTime { 0 };
    /** Its further response time for each worker named. */
    std::chrono::duration<double, std::milli> timePerWorker { 0 };
    /** How long a permit is accepted by the worker. */
    Milliseconds permitValidity { 0 };
};

/** A queue of jobs: where clients reach it, which service runs it, and how. */
struct QueueSpec
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    /** 0 is served first. */
    int priority = 0;
    /** A job fails when one of its tasks has failed so often. */
    int maxAttempts = 1;
    /** The objective of a job is this many times its longest chain of work, and latencyAllowance. */
    double slackFactor = 1.0;
    Milliseconds latencyAllowance { 0 };
    std::optional<AdvicePolicy> advice;
};

/** A pool of workers. */
struct ServiceSpec
{
    std::string name;
    /** The workers reject by themselves what exceeds their capacity. */
    bool workersEnforceCapacity = false;
    /** The pool's machines are kept switched off. */
    bool isStandby = false;
};

/** One version of the operator's desired state. */
struct DesiredState
{
    std::int64_t version = 0;
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;
    std::size_t maxBodyBytes = 1 << 18;

    /** The queue with the longest prefix that the path begins with, on this host; null if there is none. */
    const QueueSpec *route(std::string_view host, std::string_view path) const;

    /** The queue of that name; null if there is none. */
    const QueueSpec *queue(std::string_view name) const;
};

} // namespace auburndoor
