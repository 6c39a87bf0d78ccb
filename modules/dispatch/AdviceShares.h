#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace auburndoor {

/**
    Which share of the workers in a request the advisory service allows, learned for each queue.

    Recent answers count most. For one thread.
*/
class AdviceShares
{
public:
    /** Notes an answer. @param asked the number of workers in the request @param allowed the number of those that are allowed */
    void add(const std::string &queue, std::size_t asked, std::size_t allowed);

    /** The expected share of allowed workers, above 0 and at most 1; a half for a queue without answers. */
    double allowedShare(const std::string &queue) const;

private:
    struct Count
    {
        double asked = 0;
        double allowed = 0;
    };
    std::map<std::string, Count> counts_;
};

} // namespace auburndoor
