#pragma once

#include <string>
#include <vector>

namespace auburndoor {

/** One error found in a file, such as the settings or a declaration. */
struct ValidationProblem
{
    /** The path of the wrong field, such as "callers.port" or "jobs[2].team"; empty for the file as a whole. */
    std::string path;
    /** The value of the field, as JSON; empty if the field is absent or a secret. */
    std::string value;
    /** What is wrong and what is allowed. */
    std::string message;

    /** The problem as "path = value: message", with "file" for an empty path; " = value" is left out if there is no value. */
    std::string text() const;

    bool operator==(const ValidationProblem &other) const = default;
};

using ValidationProblems = std::vector<ValidationProblem>;

/** The texts of all problems, each on a line of its own. */
std::string toText(const ValidationProblems &problems);

/** All problems as a JSON object {"problems": [{"path", "value", "message"}]}. */
std::string toJson(const ValidationProblems &problems);

} // namespace auburndoor
