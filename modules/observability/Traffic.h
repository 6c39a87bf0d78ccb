#pragma once

#include <cstddef>
#include <string_view>

namespace auburndoor {

class Metrics;

/**
    Counts one exchange (a message and its answer) in "wire_messages_total" and the bytes of both in "wire_bytes_total".

    The bytes are those that this process writes to and reads from its TCP connection, including the headers of HTTP or Thrift.
    TCP and IP headers, acknowledgements and connection setup are not included. Callers do not count an exchange without an answer.

    @param label the kind of peer and the call, such as "worker/renew"; one of a small fixed set
    @param bytes size of the message and its answer together
*/
void countTraffic(Metrics &metrics, std::string_view label, std::size_t bytes);

} // namespace auburndoor
