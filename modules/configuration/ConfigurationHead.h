#pragma once

#include "core/Clock.h"
#include "storage/TableService.h"

#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** The content of the row "configuration/head". */
struct ConfigurationHead
{
    static constexpr auto key = "configuration/head";

    /** Rises by one with each accepted file; 0 for an absent row. */
    long long version = 0;
    /** SHA-256 of the file's text; names the object "configuration/<digest>". */
    std::string digest;
    std::string operatorName;
    WallTime time;
    /** Identifies the write, so that its author finds out whether it took effect after the answer was lost. */
    std::string transaction;
    /** The table's version of the row, for checks; not part of the content. */
    long long rowVersion = 0;

    /** The row's value. */
    std::string rowValue() const;

    /** Reads a row; an absent one gives version 0. @return empty with BadReply if the row's value is malformed */
    static std::optional<ConfigurationHead> parse(const TableRow &row, Failure &failure);
};

} // namespace auburndoor
