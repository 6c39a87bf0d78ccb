#pragma once

#include "http/HttpMessage.h"
#include "pipeline/Request.h"

#include <string>

namespace auburndoor {

/** Renders an outcome as the reply to a caller. */
HttpReply replyOf(const Outcome &outcome, const RequestId &request);

/** The reply that refuses a call before it became a request. */
HttpReply refusalReply(const Failure &failure, Milliseconds retryAfter = Milliseconds(0));

/** The token of the header "Authorization: Bearer <token>"; empty if there is none. */
std::string bearerToken(const HttpRequest &request);

} // namespace auburndoor
