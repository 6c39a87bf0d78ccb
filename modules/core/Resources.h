#pragma once

#include <cstdint>
#include <string>

namespace auburndoor {

/** An amount of each resource of a worker: what it has, what is used, or what a task needs. */
struct Resources
{
    /** Thousandths of a core. */
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    /** Tasks that a worker runs side by side. */
    std::int64_t slots = 0;
    /** Open calls to a worker. */
    std::int64_t connections = 0;

    /** True if every amount is at most that of the other. */
    bool fitsIn(const Resources &other) const;

    /** True if no amount is below zero. */
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

    /** "2000m cores, 512 MiB, 1 accelerators, 1 slots, 1 connections"; amounts of zero are left out. */
    std::string text() const;
};

/** The largest share that the use has of any resource of the capacity, from 0 to 1; the dominant share of DRF. */
double dominantShare(const Resources &use, const Resources &capacity);

} // namespace auburndoor
