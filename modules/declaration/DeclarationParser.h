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
    static constexpr std::size_t largestFile = 1 << 20;
    static constexpr std::size_t mostServices = 256;
    static constexpr std::size_t mostTeams = 1024;
    static constexpr std::size_t mostJobs = 10'000;
    /** Problems past it are counted, not listed. */
    static constexpr std::size_t mostProblems = 200;

    /**
        Reads a whole file.

        @param problems filled with everything that is wrong: unknown, missing, malformed and contradictory fields and references
        @return empty if there is any problem
    */
    static std::optional<Declaration> parse(const std::string &text, ValidationProblems &problems);

    /**
        Reads one job that a caller or operator submits; its fields are those of a job in the file.

        @param id          the identifier that the job gets
        @param declaration what its team and service refer to
        @return empty if there is any problem
    */
    static std::optional<JobDeclaration> parseJob(const JobId &id,
                                                  const std::string &text,
                                                  const Declaration &declaration,
                                                  ValidationProblems &problems);
};

} // namespace auburndoor
