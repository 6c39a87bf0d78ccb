#pragma once

#include "dispatch/OwnerFixture.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Checks that jobs go on: no job that is open has nothing running for three seconds while its workers have capacity for twice what
    it asks for and less than half of their capacity is in use.
*/
class ProgressChecker
{
public:
    explicit ProgressChecker(OwnerFixture &cell) : cell_(cell)
    {
    }

    /** Makes a job known. @param tasks how many have to start together */
    void addJob(const std::string &id, int tasks, int milliCores);

    /** Looks at the jobs that are open. It is to be called at short intervals. */
    void check(const std::set<std::string> &open);

    /** What was found, for a person. */
    std::vector<std::string> violations;

private:
    struct Need
    {
        int tasks = 1;
        int milliCores = 0;
    };

    bool isRunning(const std::string &id) const;
    bool hasCapacity(const Need &need) const;

    OwnerFixture &cell_;
    std::map<std::string, Need> needs_;
    /** Since when each job has nothing running though there is capacity. */
    std::map<std::string, TimePoint> stalledSince_;
};

} // namespace auburndoor
