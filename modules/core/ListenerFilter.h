#pragma once

namespace auburndoor {

/**
    Lets the kernel drop further SYNs at a listening socket, so that the connections in its backlog can be accepted before it is
   closed: the kernel resets those that are left, although their clients may have sent requests.

    Senders of dropped SYNs repeat them after 1 s and are refused once the listener is closed. Without effect if the kernel does not
    take the filter. Any thread.
*/
void dropConnectionRequests(int listener);

} // namespace auburndoor
