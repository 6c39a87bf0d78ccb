#pragma once

#include <cstddef>
#include <string_view>

namespace auburndoor {

class Metrics;

/**
    Counts one exchange (a message and its answer) in "wire_messages_total" and the bytes of both in "wire_bytes_total".

    The bytes are those that this process hands to and takes from TCP, with the headers of HTTP or Thrift. Headers of TCP and IP,
    acknowledgements and connection setup are not in them. An exchange without an answer is not counted.

    @param label the other side and the call, such as "worker/renew"; one of few values
*/
void countTraffic(Metrics &metrics, std::string_view label, std::size_t bytes);

} // namespace auburndoor
