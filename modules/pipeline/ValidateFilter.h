#pragma once

#include "pipeline/Filter.h"

namespace auburndoor {

class Clock;

/** Checks the fields of a call and fills the request from them: service, need, deadline, priority, repeatable or not. */
class ValidateFilter : public Filter
{
public:
    explicit ValidateFilter(Clock &clock);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    Clock &clock_;
};

} // namespace auburndoor
