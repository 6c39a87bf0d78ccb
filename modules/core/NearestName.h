#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace auburndoor {

/**
    The candidate with the smallest edit distance from the text, for "did you mean" in messages; letter case is ignored.

    @return empty if the text is longer than 64 bytes, or if for each candidate the distance is more than a third of its length
            (more than 1 for short candidates)
*/
std::string nearestName(std::string_view text, const std::vector<std::string> &candidates);

/**
    The end of a message about an unknown name.

    @return "; did you mean ...?" with the nearest candidate; if there is none, "; known: ..." with up to 12 candidates; empty if
            there are more, or none at all
*/
std::string suggestionFor(std::string_view text, const std::vector<std::string> &candidates);

} // namespace auburndoor
