#pragma once

#include "core/ValidationProblem.h"
#include "settings/Settings.h"

#include <optional>
#include <string>

namespace auburndoor {

/** Reads the settings from JSON with comments and checks them. Stateless; any thread. */
class SettingsLoader
{
public:
    /**
        Reads a settings file. A relative "secretFile" path is resolved against the folder of the settings file.

        @param problems receives all problems, not only the first one
        @return empty if there is any problem
    */
    static std::optional<Settings> load(const std::string &fileName, ValidationProblems &problems);

    /** Reads settings from text. @param folder base of a relative "secretFile" path; empty for the working directory */
    static std::optional<Settings> parse(const std::string &text, const std::string &folder, ValidationProblems &problems);
};

} // namespace auburndoor
