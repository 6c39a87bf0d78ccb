#pragma once

#include "pipeline/Filter.h"

namespace auburndoor {

class Clock;

/** Checks a call and describes it as a request: service, need, deadline, priority, repeatable or not. */
class ValidateFilter : public Filter
{
public:
    explicit ValidateFilter(Clock &clock);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    Clock &clock_;
};

} // namespace auburndoor
