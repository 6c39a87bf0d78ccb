#include "observability/Traffic.h"

#include "observability/Metrics.h"

namespace auburndoor {

void countTraffic(Metrics &metrics, std::string_view label, std::size_t bytes)
{
    metrics.count("wire_messages_total", label);
    metrics.count("wire_bytes_total", label, static_cast<long long>(bytes));
}

} // namespace auburndoor
