#pragma once

#include "core/ValidationProblem.h"
#include "declaration/Declaration.h"

#include <string>

namespace auburndoor {

/** Adds a problem for each reference to a missing service or team and for each contradiction between two items of the file. */
void checkRelations(const Declaration &declaration, ValidationProblems &problems);

/** Adds the problems of one job. @param path the path of the job in the file; empty for a submitted job */
void checkJob(const JobDeclaration &job, const Declaration &declaration, const std::string &path, ValidationProblems &problems);

} // namespace auburndoor
