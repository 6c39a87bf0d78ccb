#pragma once

#include <sys/types.h>

namespace auburndoor {

/** Resource use of one process as the kernel reports it in /proc. */
struct ProcessUsage
{
    /** User and system time since the start of the process; the kernel counts in steps of 10 ms. */
    double cpuSeconds = 0;
    /** Resident memory, including the library pages that processes share. */
    double residentMiB = 0;
    /** Resident memory that is not backed by files: heap and stacks. */
    double anonymousMiB = 0;
    int threads = 0;

    /** Reads /proc/<id>/stat and /proc/<id>/status. @return zeros if there is no such process */
    static ProcessUsage read(pid_t id);
};

} // namespace auburndoor
