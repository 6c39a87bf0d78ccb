#pragma once

#include <cstdint>
#include <string>

namespace auburndoor {

/** An amount of each resource of a worker: its capacity, its use, or the need of a task. */
struct Resources
{
    /** Thousandths of a core. */
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    /** Number of tasks that a worker can run concurrently. */
    std::int64_t slots = 0;
    /** Number of open calls to a worker. */
    std::int64_t connections = 0;

    /** True if no amount exceeds the same amount of the other. */
    bool fitsIn(const Resources &other) const;

    /** True if no amount is negative or so large that the sum over all workers, or over the tasks of a job, leaves its type. */
    bool isValid() const;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);

    friend Resources operator+(Resources left, const Resources &right)
    {
        return left += right;
    }

    friend Resources operator-(Resources left, const Resources &right)
    {
        return left -= right;
    }

    friend Resources operator*(const Resources &amount, int count)
    {
        return { amount.milliCores * count,
                 amount.memoryMiB * count,
                 amount.accelerators * count,
                 amount.slots * count,
                 amount.connections * count };
    }

    bool operator==(const Resources &other) const = default;

    /** "2000m cores, 512 MiB, 1 accelerators, 1 slots, 1 connections" without amounts of zero; "nothing" if all are zero. */
    std::string text() const;
};

/**
    The dominant share, as in dominant resource fairness (DRF): the largest of the used shares of cores, memory, accelerators and
    slots.

    Connections and resources whose capacity is 0 are left out. The result is from 0 to 1 if the use fits in the capacity.
*/
double dominantShare(const Resources &use, const Resources &capacity);

} // namespace auburndoor
