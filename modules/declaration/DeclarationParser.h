#pragma once

#include "core/ValidationProblem.h"
#include "declaration/Declaration.h"

#include <cstddef>
#include <optional>
#include <string>

namespace auburndoor {

/** Reads the declarative file: JSON with comments. Stateless; any thread. */
class DeclarationParser
{
public:
    static constexpr std::size_t maximumFileBytes = 1 << 20;
    static constexpr std::size_t maximumServices = 256;
    static constexpr std::size_t maximumTeams = 1024;
    static constexpr std::size_t maximumJobs = 10'000;
    /** Further problems are only counted. */
    static constexpr std::size_t maximumListedProblems = 200;

    /**
        Reads a whole file.

        @param problems receives all problems: unknown, missing, malformed and contradictory fields and references
        @return empty if there is any problem
    */
    static std::optional<Declaration> parse(const std::string &text, ValidationProblems &problems);

    /**
        Reads one job that a caller or operator submits; its fields are those of a job in the file.

        @param id          the identifier of the job
        @param declaration the declaration that holds its team and service
        @return empty if there is any problem
    */
    static std::optional<JobDeclaration> parseJob(const JobId &id,
                                                  const std::string &text,
                                                  const Declaration &declaration,
                                                  ValidationProblems &problems);
};

} // namespace auburndoor
