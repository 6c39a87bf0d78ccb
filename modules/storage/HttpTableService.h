#pragma once

#include "storage/TableService.h"

namespace auburndoor {

class PlatformConnection;

/**
    Accesses the platform's table over HTTP, by the protocol in docs/protocols/platform.md. Thread-safe.

    While the table is down or throttles, requests are repeated until their deadline. A commit whose attempts were all refused or
    never left this process is NotWritten. Once an attempt may have arrived, the commit is Unknown until the table reports its
    outcome.
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
