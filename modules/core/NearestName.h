#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace auburndoor {

/**
    The candidate that is most like the text, for "did you mean" in messages; letter case is ignored.

    @return empty if none differs by at most a third of its letters
*/
std::string nearestName(std::string_view text, const std::vector<std::string> &candidates);

/** "; did you mean ...?" with the nearest candidate, else "; known: ..." with all if they are few, else empty. */
std::string suggestionFor(std::string_view text, const std::vector<std::string> &candidates);

} // namespace auburndoor
