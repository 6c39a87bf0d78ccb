#include "measure/Report.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>
#include <sstream>

namespace auburndoor {

namespace {

/** Formats as "median (smallest-largest)", or as the median alone if all values are equal. */
std::string formatValue(const Spread &spread, int digits = 1)
{
    std::ostringstream stream;
    stream << std::fixed << std::setprecision(digits) << spread.median;
    if (spread.smallest != spread.largest) {
        stream << " (" << spread.smallest << "-" << spread.largest << ")";
    }
    return stream.str();
}

std::string formatValue(double value, int digits)
{
    return formatValue(Spread { value, value, value }, digits);
}

void printRow(std::ostream &stream, const std::vector<std::string> &cells)
{
    for (const auto &cell : cells) {
        stream << "| " << cell << " ";
    }
    stream << "|\n";
}

void printHeader(std::ostream &stream, const std::vector<std::string> &cells)
{
    stream << '\n';
    printRow(stream, cells);
    printRow(stream, std::vector<std::string>(cells.size(), "---"));
}

std::string formatValue(const std::map<std::string, int> &outcomes)
{
    std::string text;
    for (const auto &[outcome, count] : outcomes) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + outcome;
    }
    return text;
}

void printLoads(std::ostream &stream, const std::vector<MeasuredLoad> &loads)
{
    printHeader(stream,
                { "load (per instance, per second)",
                  "cpu %",
                  "highest cpu %",
                  "resident MiB",
                  "anonymous MiB",
                  "threads",
                  "control B/s",
                  "highest control B/s",
                  "control msg/s",
                  "request B/s",
                  "table reads/s",
                  "table writes/s",
                  "outcomes" });
    for (const auto &load : loads) {
        printRow(stream,
                 { load.load.name,
                   formatValue(load.cpuPercent),
                   formatValue(load.highestCpuPercent),
                   formatValue(load.residentMiB),
                   formatValue(load.anonymousMiB),
                   formatValue(load.threads, 0),
                   formatValue(load.controlBytes, 0),
                   formatValue(load.highestControlBytes, 0),
                   formatValue(load.controlMessages),
                   formatValue(load.requestBytes, 0),
                   formatValue(load.tableReads),
                   formatValue(load.tableWrites),
                   formatValue(load.requestOutcomes) });
    }
}

void printTraffic(std::ostream &stream, const std::vector<MeasuredLoad> &loads)
{
    printHeader(stream, { "load", "call", "msg/s", "B/s", "B/msg" });
    for (const auto &load : loads) {
        for (const auto &[label, bytes] : load.bytes) {
            const auto messages = load.messages.at(label);
            if (messages > 0) {
                printRow(
                    stream,
                    { load.load.name, label, formatValue(messages, 2), formatValue(bytes, 0), formatValue(bytes / messages, 0) });
            }
        }
    }
}

void printOwnership(std::ostream &stream, const std::vector<OwnershipResult> &results)
{
    printHeader(stream,
                { "ownership", "requests/s", "p50 ms", "p99 ms", "max ms", "cpu %", "highest cpu %", "forwarded/s", "outcomes" });
    for (const auto &result : results) {
        printRow(stream,
                 { result.mode,
                   formatValue(result.requestsPerSecond, 0),
                   formatValue(result.p50Ms, 2),
                   formatValue(result.p99Ms),
                   formatValue(result.maxMs),
                   formatValue(result.cpuPercent),
                   formatValue(result.highestCpuPercent),
                   formatValue(result.forwardedPerSecond, 0),
                   formatValue(result.outcomes) });
    }
    for (std::size_t index = 0; index + 1 < results.size(); index += 2) {
        const auto &sharded = results[index];
        const auto &single = results[index + 1];
        stream << "single / sharded at " << formatValue(sharded.requestsPerSecond, 0) << "/s: p50 "
               << formatValue(single.p50Ms.median / sharded.p50Ms.median, 2) << ", p99 "
               << formatValue(single.p99Ms.median / sharded.p99Ms.median, 2) << ", max "
               << formatValue(single.maxMs.median / sharded.maxMs.median, 2) << ", highest cpu "
               << formatValue(single.highestCpuPercent.median / sharded.highestCpuPercent.median, 2) << '\n';
    }
}

void printApplies(std::ostream &stream, const ApplyTimes &applies)
{
    stream << "\napplies: " << applies.applies << ", failed " << applies.failures << "; in force everywhere "
           << formatValue(applies.inForceMs) << " ms, reply " << formatValue(applies.replyMs) << " ms; for one instance "
           << formatValue(applies.cpuMs, 2) << " ms of cpu, " << formatValue(applies.bytes, 0) << " B, "
           << formatValue(applies.messages, 1) << " messages per apply\n";
}

nlohmann::json toJson(const Spread &spread)
{
    return { { "median", spread.median }, { "smallest", spread.smallest }, { "largest", spread.largest } };
}

nlohmann::json toJson(const MeasuredLoad &load)
{
    return { { "name", load.load.name },
             { "instances", load.load.instances },
             { "workers", load.load.workers },
             { "tasks", load.load.tasks },
             { "requestsPerSecond", load.load.requestsPerSecond },
             { "cpuPercent", toJson(load.cpuPercent) },
             { "highestCpuPercent", toJson(load.highestCpuPercent) },
             { "residentMiB", toJson(load.residentMiB) },
             { "anonymousMiB", toJson(load.anonymousMiB) },
             { "threads", toJson(load.threads) },
             { "controlBytes", toJson(load.controlBytes) },
             { "highestControlBytes", toJson(load.highestControlBytes) },
             { "controlMessages", toJson(load.controlMessages) },
             { "requestBytes", toJson(load.requestBytes) },
             { "requestMessages", toJson(load.requestMessages) },
             { "tableReads", toJson(load.tableReads) },
             { "tableWrites", toJson(load.tableWrites) },
             { "bytes", load.bytes },
             { "messages", load.messages },
             { "outcomes", load.requestOutcomes } };
}

nlohmann::json toJson(const OwnershipResult &result)
{
    return { { "ownership", result.mode },
             { "requestsPerSecond", result.requestsPerSecond },
             { "p50Ms", toJson(result.p50Ms) },
             { "p99Ms", toJson(result.p99Ms) },
             { "maxMs", toJson(result.maxMs) },
             { "cpuPercent", toJson(result.cpuPercent) },
             { "highestCpuPercent", toJson(result.highestCpuPercent) },
             { "forwardedPerSecond", toJson(result.forwardedPerSecond) },
             { "outcomes", result.outcomes } };
}

nlohmann::json toJson(const ApplyTimes &applies)
{
    return { { "applies", applies.applies },         { "failures", applies.failures }, { "inForceMs", toJson(applies.inForceMs) },
             { "replyMs", toJson(applies.replyMs) }, { "cpuMs", applies.cpuMs },       { "bytes", applies.bytes },
             { "messages", applies.messages } };
}

} // namespace

void printTables(std::ostream &stream, const Measurements &measurements)
{
    printLoads(stream, measurements.loads);
    printHeader(stream, { "one more", "cpu %", "memory KiB", "control B/s", "control msg/s", "request B/s" });
    for (const auto &slope : computeSlopes(measurements.loads)) {
        printRow(stream,
                 { slope.of,
                   formatValue(slope.cpuPercent, 4),
                   formatValue(slope.memoryKiB, 1),
                   formatValue(slope.controlBytes, 1),
                   formatValue(slope.controlMessages, 3),
                   formatValue(slope.requestBytes, 1) });
    }
    printApplies(stream, measurements.applies);
    printOwnership(stream, measurements.ownership);
    printTraffic(stream, measurements.loads);
}

nlohmann::json toJson(const Measurements &measurements)
{
    nlohmann::json json { { "applies", toJson(measurements.applies) } };
    for (const auto &load : measurements.loads) {
        json["loads"].push_back(toJson(load));
    }
    for (const auto &result : measurements.ownership) {
        json["ownership"].push_back(toJson(result));
    }
    for (const auto &slope : computeSlopes(measurements.loads)) {
        json["slopes"].push_back({ { "of", slope.of },
                                   { "cpuPercent", slope.cpuPercent },
                                   { "memoryKiB", slope.memoryKiB },
                                   { "controlBytes", slope.controlBytes },
                                   { "controlMessages", slope.controlMessages },
                                   { "requestBytes", slope.requestBytes } });
    }
    return json;
}

} // namespace auburndoor
