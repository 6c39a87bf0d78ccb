#pragma once

#include "core/Problem.h"
#include "settings/Settings.h"

namespace auburndoor {

/** Adds a problem for each relation between settings that does not hold, such as a renewal longer than a third of its lease. */
void checkRelations(const Settings &settings, Problems &problems);

} // namespace auburndoor
