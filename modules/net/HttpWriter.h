#pragma once

#include "net/HttpExchange.h"

#include <string>

namespace auburndoor {

/**
    Appends a request as it is sent. The headers must not contain Content-Type or Content-Length, which are added.

    @param host the value of the header Host, unless the request has one
*/
void appendRequest(std::string &output, const WebRequest &request, const std::string &host);

/** Appends a reply as it is sent. @param keepAlive if false, the header "Connection: close" is added */
void appendReply(std::string &output, const WebReply &reply, bool keepAlive);

} // namespace auburndoor
