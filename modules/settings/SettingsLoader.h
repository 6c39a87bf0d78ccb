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
        Reads a settings file. A "secretFile" with a relative path is taken from the folder of the settings file.

        @param problems filled with everything that is wrong, not only the first problem
        @return empty if there is any problem
    */
    static std::optional<Settings> load(const std::string &fileName, ValidationProblems &problems);

    /** Reads settings from text. @param folder where a relative "secretFile" is taken from; empty for the working folder */
    static std::optional<Settings> parse(const std::string &text, const std::string &folder, ValidationProblems &problems);
};

} // namespace auburndoor
