#pragma once

#include "declaration/Declaration.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace auburndoor {

/** Writes declarations as JSON that DeclarationParser reads back as the same declaration. Stateless; any thread. */
class DeclarationWriter
{
public:
    /** Writes every field, including defaults, indented by two spaces. */
    static std::string write(const Declaration &declaration);

    /** Writes one job on one line, with the fields that a file or a submission has. */
    static std::string write(const JobDeclaration &job);

    /** Sets target to the JSON value of the declaration, with every field, for comparing declarations. */
    static void fill(nlohmann::json &target, const Declaration &declaration);
};

} // namespace auburndoor
