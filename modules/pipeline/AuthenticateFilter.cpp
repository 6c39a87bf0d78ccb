#include "pipeline/AuthenticateFilter.h"

#include "declaration/Digest.h"
#include "pipeline/RequestContext.h"

namespace auburndoor {

std::optional<Outcome> AuthenticateFilter::apply(RequestContext &context)
{
    const auto digest = Digest::of(context.call.token);
    for (const auto &[id, team] : context.configuration->declaration.teams) {
        if (Digest::isEqual(digest, team.tokenDigest)) {
            context.request.team = id;
            return std::nullopt;
        }
    }
    return Outcome { OutcomeStatus::NotRun,
                     {},
                     { FailureStep::Authenticate, {}, FailureReason::BadCredentials, "the token belongs to no team" },
                     {},
                     {},
                     {} };
}

} // namespace auburndoor
