#pragma once

#include "core/ValidationProblem.h"
#include "settings/Settings.h"

namespace auburndoor {

/** Adds a problem for each violated relation between settings, such as a renewal period longer than a third of its lease. */
void checkRelations(const Settings &settings, ValidationProblems &problems);

} // namespace auburndoor
