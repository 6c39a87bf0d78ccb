#pragma once

#include <string_view>

namespace auburndoor {

/**
    Which sources this program was built from: the commit, "unknown" where the sources came without their history, and a digest of
    the product's sources. `cmake -DSOURCE=. -P cmake/BuildVersion.cmake` prints the same text for a work tree. May be called from
    any thread.
*/
std::string_view buildVersion();

} // namespace auburndoor
