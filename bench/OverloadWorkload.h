#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

/** A kind of job that callers submit to an overloaded service, with its value to them. */
struct CallerKind
{
    std::string name;
    int priority = 0;
    double jobsPerSecond = 0;
    double steps = 1;
    int tasks = 1;
    auburndoor::Milliseconds runTime { 1000 };
    int milliCores = 1000;
    double slackFactor = 2;
    auburndoor::Milliseconds allowance { 0 };
    bool savesProgress = false;
    /** Of a job that is in time; a late one is worth a fifth of it. */
    double value = 1;
};

/** One job of a generated overload. */
struct OverloadJob
{
    auburndoor::Milliseconds arrival { 0 };
    /** Index of its kind. */
    std::size_t kind = 0;
    int steps = 1;
    int tasks = 1;
    auburndoor::Milliseconds estimate { 0 };
    /** The real run times of all tasks, step by step. */
    std::vector<auburndoor::Milliseconds> runTimes;
    std::string account;
};

/** Parameters of a generated overload. */
struct OverloadOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds duration { 60 };
    /** The workers of 16 cores; the arrival rates are for 350 of them. */
    int workers = 70;
    /** Multiplies all arrival rates. */
    double load = 1;
};

/** The kinds of the measured deployment: short urgent jobs, and two kinds of wide ones that save their progress. */
std::vector<CallerKind> overloadKinds();

/**
    Generates jobs in the order of their arrival: demand that rises by half and falls again every 15 s, bursts in which one of ten
    client accounts submits five times its usual rate for 3 s, sizes with a heavy tail, and estimates that are off by up to half.
*/
std::vector<OverloadJob> makeOverload(const OverloadOptions &options);
