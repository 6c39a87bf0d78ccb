#include "measure/InstanceProbe.h"

#include <sstream>

namespace auburndoor {

namespace {

constexpr std::chrono::milliseconds callTimeout { 5000 };

/** Stores the value of a line of the metric, such as `auburndoor_wire_bytes_total{reason="worker/renew"} 12`. */
void parseMetricLine(const std::string &line, const std::string &metric, std::map<std::string, double> &target)
{
    const auto start = metric + "{reason=\"";
    if (!line.starts_with(start)) {
        return;
    }
    const auto end = line.find('"', start.size());
    target[line.substr(start.size(), end - start.size())] = std::stod(line.substr(line.rfind(' ')));
}

std::map<std::string, double> computeRates(const std::map<std::string, double> &before,
                                           const std::map<std::string, double> &after,
                                           double seconds)
{
    std::map<std::string, double> result;
    for (const auto &[label, value] : after) {
        const auto known = before.find(label);
        result[label] = (value - (known == before.end() ? 0 : known->second)) / seconds;
    }
    return result;
}

double findValueOrZero(const std::map<std::string, double> &values, const std::string &label)
{
    const auto found = values.find(label);
    return found == values.end() ? 0 : found->second;
}

} // namespace

TrafficCounters TrafficCounters::parse(const std::string &text)
{
    TrafficCounters counters;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line)) {
        parseMetricLine(line, "auburndoor_wire_bytes_total", counters.bytes);
        parseMetricLine(line, "auburndoor_wire_messages_total", counters.messages);
    }
    return counters;
}

InstanceSample InstanceProbe::sample(Cell &cell, const std::string &instance)
{
    InstanceSample sample;
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    const auto reply = Cell::call(cell.operatorsAddress(instance), "GET", "/metrics", {}, headers, callTimeout);
    sample.traffic = TrafficCounters::parse(reply ? reply->body : std::string());
    sample.usage = ProcessUsage::read(cell.instance(instance).id());
    sample.time = std::chrono::steady_clock::now();
    return sample;
}

InstanceRates InstanceProbe::rates(const InstanceSample &before, const InstanceSample &after)
{
    const auto seconds = std::chrono::duration<double>(after.time - before.time).count();
    InstanceRates rates;
    rates.cpuPercent = (after.usage.cpuSeconds - before.usage.cpuSeconds) / seconds * 100;
    rates.residentMiB = after.usage.residentMiB;
    rates.anonymousMiB = after.usage.anonymousMiB;
    rates.threads = after.usage.threads;
    rates.bytes = computeRates(before.traffic.bytes, after.traffic.bytes, seconds);
    rates.messages = computeRates(before.traffic.messages, after.traffic.messages, seconds);
    for (const auto &[label, value] : rates.bytes) {
        (isControlTraffic(label) ? rates.controlBytes : rates.requestBytes) += value;
    }
    for (const auto &[label, value] : rates.messages) {
        (isControlTraffic(label) ? rates.controlMessages : rates.requestMessages) += value;
    }
    rates.tableReads = findValueOrZero(rates.messages, "platform/table/read")
                       + findValueOrZero(rates.messages, "platform/table/read-prefix");
    rates.tableWrites = findValueOrZero(rates.messages, "platform/table/commit");
    return rates;
}

bool InstanceProbe::isControlTraffic(const std::string &label)
{
    return label != "worker/call" && label != "peer/execute" && label != "peer-served/execute";
}

} // namespace auburndoor
