#pragma once

#include "core/Clock.h"
#include "storage/TableService.h"

#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** The content of the table row "configuration/head", which names the version in force. */
struct ConfigurationHead
{
    static constexpr auto key = "configuration/head";

    /** Rises by one with each accepted file; 0 for an absent row. */
    long long version = 0;
    /** SHA-256 of the file's text; names the object "configuration/<digest>". */
    std::string digest;
    std::string operatorName;
    WallTime time;
    /** Id of the transaction that wrote the row; a writer whose answer was lost reads it to learn whether its write took effect. */
    std::string transaction;
    /** The table's version of the row, which a commit checks; not part of the row's value. */
    long long rowVersion = 0;

    /** The row's value as JSON text. */
    std::string rowValue() const;

    /** Parses a row; an absent one gives version 0. @return empty with FailureReason::BadReply if the row's value is malformed */
    static std::optional<ConfigurationHead> parse(const TableRow &row, Failure &failure);
};

} // namespace auburndoor
