#pragma once

#include "storage/TableService.h"

namespace auburndoor {

class PlatformConnection;

/**
    The platform's table over HTTP, as in docs/protocols/platform.md.

    While the table is down or throttles, calls are repeated until their deadline. A commit whose attempts were all refused or
    never left this process ends as NotWritten; once an attempt may have arrived, only the table's own outcome makes it definite.
*/
class HttpTableService : public TableService
{
public:
    /** @param connection must outlive this object */
    explicit HttpTableService(PlatformConnection &connection);

    std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) override;
    std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) override;
    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override;

private:
    PlatformConnection &connection_;
};

} // namespace auburndoor
