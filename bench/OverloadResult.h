#pragma once

#include "core/Clock.h"

#include <map>
#include <string>
#include <vector>

/** What a policy has cost the callers. */
struct OverloadResult
{
    struct Kind
    {
        double owed = 0;
        double earned = 0;
        int jobs = 0;
        int inTime = 0;

        /** The part of the value that callers have got. */
        double served() const
        {
            return owed > 0 ? earned / owed : 1;
        }
    };
    std::vector<Kind> kinds;
    /** The jobs with at least twice the tasks of their kind. */
    Kind large;
    std::map<std::string, Kind> accounts;
    /** The time until the tasks of the most urgent kind start, for 99% of them. */
    auburndoor::Milliseconds urgentWait { 0 };
    long long starts = 0;
    long long stops = 0;
    /** Work that was done and has to be repeated, in core-seconds. */
    double discarded = 0;

    /** The value that callers have lost. */
    double cost() const;
    /** The smallest part of its value that a kind of job has got. */
    double worstKind() const;
    /** The smallest part of its value that a client account has got. */
    double worstAccount() const;
    /** Adds the figures of another run. */
    void add(const OverloadResult &other);
};
