#include "core/FlagNames.h"

#include <algorithm>
#include <string_view>

namespace auburndoor {

void acceptHyphens(int argumentCount, char **arguments)
{
    for (int index = 1; index < argumentCount; ++index) {
        const std::string_view argument(arguments[index]);
        if (argument == "--") {
            return;
        }
        if (argument.starts_with("--")) {
            const auto end = std::min(argument.find('='), argument.size());
            std::replace(arguments[index] + 2, arguments[index] + end, '-', '_');
        }
    }
}

} // namespace auburndoor
