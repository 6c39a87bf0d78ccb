#pragma once

#include "pipeline/Request.h"

#include <optional>

namespace auburndoor {

struct RequestContext;

/**
    One step in the handling of a request.

    A filter either passes the request on to the next filter or ends the attempt with an outcome. Many threads may call it at once,
    each with its own context.
*/
class Filter
{
public:
    virtual ~Filter() = default;

    /** @return empty to pass the request on, or the outcome that ends this attempt */
    virtual std::optional<Outcome> apply(RequestContext &context) = 0;
};

} // namespace auburndoor
