#pragma once

#include "ReviewCell.h"

namespace auburndoor {

// Each returns 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

/** The workers of one rack crash several times; their jobs are sound. */
int playGivenUpJobs(ReviewCell &cell, bool hasTrouble);

/** The workers of one rack crash twice, and then all is calm. */
int playIsolatedTasks(ReviewCell &cell, bool hasTrouble);

/** The store turns the owner away, and is down for a while when the next owner serves. */
int playRefusedJobs(ReviewCell &cell, bool hasTrouble);

/** A rack crashes for a moment, and one of its workers is lost soon after it is back. */
int playLostAfterRestart(ReviewCell &cell, bool hasTrouble);

} // namespace auburndoor
