#pragma once

#include <string>
#include <vector>

namespace auburndoor {

/** One thing that is wrong with a file, such as the settings or a declaration. */
struct ValidationProblem
{
    /** Where it is, such as "callers.port" or "jobs[2].team"; empty for the file as a whole. */
    std::string path;
    /** The value found there, as JSON; empty if there is none or if it is a secret. */
    std::string value;
    /** What is wrong and what is allowed. */
    std::string message;

    /** "path = value: message". */
    std::string text() const;

    bool operator==(const ValidationProblem &other) const = default;
};

using ValidationProblems = std::vector<ValidationProblem>;

/** All problems, one a line. */
std::string toText(const ValidationProblems &problems);

/** {"problems": [{"path", "value", "message"}]}. */
std::string toJson(const ValidationProblems &problems);

} // namespace auburndoor
