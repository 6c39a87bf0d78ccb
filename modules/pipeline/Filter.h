#pragma once

#include "pipeline/Request.h"

#include <optional>

namespace auburndoor {

struct RequestContext;

/**
    One step of the path from a request to its outcome.

    A filter either passes the request on to the next one or ends it. It may be used by many threads at once, each with a context of
   its own.
*/
class Filter
{
public:
    virtual ~Filter() = default;

    /** @return empty to pass the request on, or the outcome that ends this attempt */
    virtual std::optional<Outcome> apply(RequestContext &context) = 0;
};

} // namespace auburndoor
