#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** The platform's object store. Objects of ours are immutable, so that a repeated put does no harm. Any thread. */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /** @return false on failure */
    virtual bool put(const std::string &name, const std::string &bytes, TimePoint deadline, Failure &failure) = 0;

    /** @return the bytes; empty on failure, with UnknownName if there is no such object */
    virtual std::optional<std::string> get(const std::string &name, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
