#pragma once

#include "declaration/Declaration.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace auburndoor {

/** Renders declarations back as JSON; DeclarationParser reads the text as the same declaration. Stateless; any thread. */
class DeclarationWriter
{
public:
    /** Every field, with the defaults written out, indented by two blanks. */
    static std::string write(const Declaration &declaration);

    /** One job as a file or a submission holds it, on one line. */
    static std::string write(const JobDeclaration &job);

    /** The same as values, for comparing. */
    static void fill(nlohmann::json &target, const Declaration &declaration);
};

} // namespace auburndoor
