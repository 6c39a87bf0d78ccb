#pragma once

#include "storage/InstanceDirectory.h"

namespace auburndoor {

class PlatformConnection;

/** Reads the platform's list of workers over HTTP. Thread-safe. */
class HttpInstanceDirectory : public InstanceDirectory
{
public:
    /** @param connection must outlive this object */
    explicit HttpInstanceDirectory(PlatformConnection &connection);

    std::optional<WorkerListing> changesSince(long long cursor, TimePoint deadline, Failure &failure) override;

private:
    PlatformConnection &connection_;
};

} // namespace auburndoor
