#pragma once

#include "core/Resources.h"

#include <string>
#include <vector>

namespace auburndoor {

/** An account whose clients submit jobs: the keys of its calls, and what its jobs may take of the workers. */
struct ClientAccount
{
    std::string name;
    /** Each one authorizes calls of this account. Never logged or stored. */
    std::vector<std::string> keys;
    /** Its share of scarce room, relative to the weights of the other accounts; positive. */
    double weight = 1.0;
    /** The most that its tasks may have on all workers together; an amount of 0 is unlimited. */
    Resources limit;
};

} // namespace auburndoor
