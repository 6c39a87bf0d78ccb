#pragma once

#include <string>
#include <vector>

namespace auburndoor {

/** An array nested far deeper than any message. */
std::string deepArray();

/**
    What another writer may leave in place of a JSON text.

    @return the text with each of its values in turn replaced by one that is nested too deeply, too large, negative or of another
            type, or that is a port out of range; and texts that are no JSON
*/
std::vector<std::string> withOddValues(const std::string &text);

} // namespace auburndoor
