#pragma once

#include <cstdint>
#include <string>

namespace auburndoor {

/** A run of a task together with the incarnation of the worker that it was known to run on. */
struct HostedRun
{
    std::string worker;
    std::int64_t incarnation = 0;
    std::int64_t attempt = 0;
    /** No run of another job was on the worker, which ended soon after the start, as far as is known. */
    bool isAlone = false;
    /** No run of another job was started on the worker after it, and the worker ended soon after the start, as far as is known. */
    bool isLast = false;

    auto operator<=>(const HostedRun &other) const = default;
};

} // namespace auburndoor
