#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** The platform's object store. Objects are never changed once written, so that put() is idempotent. Thread-safe. */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /** Writes an object. @return false on failure */
    virtual bool put(const std::string &name, const std::string &bytes, TimePoint deadline, Failure &failure) = 0;

    /** Reads an object. @return its bytes; empty on failure, with UnknownName if there is no such object */
    virtual std::optional<std::string> get(const std::string &name, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
