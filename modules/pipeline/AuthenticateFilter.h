#pragma once

#include "pipeline/Filter.h"

namespace auburndoor {

/** Finds the team whose token the caller presented. */
class AuthenticateFilter : public Filter
{
public:
    std::optional<Outcome> apply(RequestContext &context) override;
};

} // namespace auburndoor
