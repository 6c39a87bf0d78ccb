#pragma once

#include <string>

namespace auburndoor {

/** What the store does with the calls of one process. */
struct StoreFault
{
    enum class Kind {
        None,
        /** Calls are answered with status 503 at once, and not carried out. */
        Refuse,
        /** Calls are neither carried out nor answered. */
        Silent,
        /** Calls are carried out and not answered. */
        LoseReplies,
    };
    Kind kind = Kind::None;
    bool affectsReads = true;
    bool affectsWrites = true;
    /** Reads of other tables are served; empty for all tables. */
    std::string table = {};
};

} // namespace auburndoor
