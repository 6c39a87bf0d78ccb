#pragma once

#include "core/Clock.h"

namespace auburndoor {

/** Limits of the time that a reply may take, for replies whose length is not known before. */
struct HttpReplyTimeouts
{
    /** From the request, with the wait for a connection, until the first byte of the reply. */
    Milliseconds untilFirstByte { 0 };
    /** The longest time in which nothing more arrives of a reply that has begun. */
    Milliseconds betweenBytes { 0 };
    /** From the request until the end of the reply, however steadily it arrives. */
    Milliseconds total { 0 };
};

} // namespace auburndoor
