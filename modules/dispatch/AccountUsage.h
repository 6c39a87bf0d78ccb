#pragma once

#include "core/Resources.h"

#include <string>
#include <unordered_map>

namespace auburndoor {

struct RunClaim;

/**
    What each client account has on all workers, counted run by run.

    A run counts for as long as it occupies its worker: also while its start is uncertain or it is being stopped. Runs without an
    account are not counted. Used on the loop's thread.
*/
class AccountUsage
{
public:
    /** Counts a run. */
    void add(const RunClaim &claim);
    /** Ends the count of a run; the claim has to be the one that was added. */
    void remove(const RunClaim &claim);
    /** What the runs of the account take of its limit. */
    Resources of(const std::string &account) const;

private:
    struct Use
    {
        Resources amount;
        int runs = 0;
    };

    /** The accounts that have runs. */
    std::unordered_map<std::string, Use> uses_;
};

} // namespace auburndoor
