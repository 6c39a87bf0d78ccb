#pragma once

#include "core/ValidationProblem.h"
#include "settings/Settings.h"

namespace auburndoor {

/** Adds a problem for each relation between settings that does not hold, such as a renewal longer than a third of its lease. */
void checkRelations(const Settings &settings, ValidationProblems &problems);

} // namespace auburndoor
