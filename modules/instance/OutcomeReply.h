#pragma once

#include "http/HttpMessage.h"
#include "pipeline/Request.h"

#include <string>

namespace auburndoor {

/** Creates the reply to a caller from the outcome of its request. */
HttpReply makeOutcomeReply(const Outcome &outcome, const RequestId &request);

/** Creates the reply to a call that was refused and not run. @param retryAfter when the caller may try again; 0 omits the header
 * Retry-After */
HttpReply makeRefusalReply(const Failure &failure, Milliseconds retryAfter = Milliseconds(0));

/** Returns the token of the header "Authorization: Bearer <token>"; empty if there is none. */
std::string readBearerToken(const HttpRequest &request);

} // namespace auburndoor
