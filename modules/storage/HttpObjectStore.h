#pragma once

#include "storage/ObjectStore.h"

namespace auburndoor {

class PlatformConnection;

/** Accesses the platform's object store over HTTP. Thread-safe. */
class HttpObjectStore : public ObjectStore
{
public:
    /** @param connection must outlive this object */
    explicit HttpObjectStore(PlatformConnection &connection);

    bool put(const std::string &name, const std::string &bytes, TimePoint deadline, Failure &failure) override;
    std::optional<std::string> get(const std::string &name, TimePoint deadline, Failure &failure) override;

private:
    PlatformConnection &connection_;
};

} // namespace auburndoor
