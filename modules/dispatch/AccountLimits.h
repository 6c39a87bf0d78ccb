#pragma once

#include "core/Resources.h"

#include <string>

namespace auburndoor {

struct JobSpec;

/** Decides what a client account may start under its limit. An amount of 0 in a limit is unlimited. All functions are pure. */
struct AccountLimits
{
    /** True if some amount of the limit is not unlimited. */
    static bool isLimited(const Resources &limit);

    /**
        How many more tasks fit: after their start, the use exceeds no limited amount. None fits while the use exceeds one, also if
        the tasks need nothing of it.

        @param use  what the account has on all workers
        @param need what each task takes of the limit
        @param most the largest result
    */
    static int countFitting(const Resources &use, const Resources &limit, const Resources &need, int most);

    /** Tells, for a person, which task or gang of the job can never run under the limit; empty if there is none. */
    static std::string describeOversized(const JobSpec &job, const Resources &limit);
};

} // namespace auburndoor
