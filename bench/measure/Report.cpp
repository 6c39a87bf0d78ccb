#include "measure/Report.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>
#include <sstream>

namespace auburndoor {

namespace {

/** "median (smallest-largest)". */
std::string textOf(const Spread &spread, int digits = 1)
{
    std::ostringstream stream;
    stream << std::fixed << std::setprecision(digits) << spread.median;
    if (spread.smallest != spread.largest) {
        stream << " (" << spread.smallest << "-" << spread.largest << ")";
    }
    return stream.str();
}

std::string textOf(double value, int digits)
{
    return textOf(Spread { value, value, value }, digits);
}

void printLine(std::ostream &stream, const std::vector<std::string> &cells)
{
    for (const auto &cell : cells) {
        stream << "| " << cell << " ";
    }
    stream << "|\n";
}

void printHead(std::ostream &stream, const std::vector<std::string> &cells)
{
    stream << '\n';
    printLine(stream, cells);
    printLine(stream, std::vector<std::string>(cells.size(), "---"));
}

std::string textOf(const std::map<std::string, int> &outcomes)
{
    std::string text;
    for (const auto &[outcome, count] : outcomes) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + outcome;
    }
    return text;
}

void printLoads(std::ostream &stream, const std::vector<MeasuredLoad> &loads)
{
    printHead(stream,
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
        printLine(stream,
                  { load.load.name,
                    textOf(load.cpuPercent),
                    textOf(load.highestCpuPercent),
                    textOf(load.residentMiB),
                    textOf(load.anonymousMiB),
                    textOf(load.threads, 0),
                    textOf(load.controlBytes, 0),
                    textOf(load.highestControlBytes, 0),
                    textOf(load.controlMessages),
                    textOf(load.requestBytes, 0),
                    textOf(load.tableReads),
                    textOf(load.tableWrites),
                    textOf(load.requestOutcomes) });
    }
}

void printTraffic(std::ostream &stream, const std::vector<MeasuredLoad> &loads)
{
    printHead(stream, { "load", "call", "msg/s", "B/s", "B/msg" });
    for (const auto &load : loads) {
        for (const auto &[label, bytes] : load.bytes) {
            const auto messages = load.messages.at(label);
            if (messages > 0) {
                printLine(stream, { load.load.name, label, textOf(messages, 2), textOf(bytes, 0), textOf(bytes / messages, 0) });
            }
        }
    }
}

void printOwnership(std::ostream &stream, const std::vector<OwnershipResult> &results)
{
    printHead(stream,
              { "ownership", "requests/s", "p50 ms", "p99 ms", "max ms", "cpu %", "highest cpu %", "forwarded/s", "outcomes" });
    for (const auto &result : results) {
        printLine(stream,
                  { result.mode,
                    textOf(result.requestsPerSecond, 0),
                    textOf(result.p50Ms, 2),
                    textOf(result.p99Ms),
                    textOf(result.maxMs),
                    textOf(result.cpuPercent),
                    textOf(result.highestCpuPercent),
                    textOf(result.forwardedPerSecond, 0),
                    textOf(result.outcomes) });
    }
    for (std::size_t index = 0; index + 1 < results.size(); index += 2) {
        const auto &sharded = results[index];
        const auto &single = results[index + 1];
        stream << "single / sharded at " << textOf(sharded.requestsPerSecond, 0) << "/s: p50 "
               << textOf(single.p50Ms.median / sharded.p50Ms.median, 2) << ", p99 "
               << textOf(single.p99Ms.median / sharded.p99Ms.median, 2) << ", max "
               << textOf(single.maxMs.median / sharded.maxMs.median, 2) << ", highest cpu "
               << textOf(single.highestCpuPercent.median / sharded.highestCpuPercent.median, 2) << '\n';
    }
}

void printApplies(std::ostream &stream, const ApplyTimes &applies)
{
    stream << "\napplies: " << applies.applies << ", failed " << applies.failures << "; in force everywhere "
           << textOf(applies.inForceMs) << " ms, reply " << textOf(applies.replyMs) << " ms; for one instance "
           << textOf(applies.cpuMs, 2) << " ms of cpu, " << textOf(applies.bytes, 0) << " B, " << textOf(applies.messages, 1)
           << " messages per apply\n";
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
    printHead(stream, { "one more", "cpu %", "memory KiB", "control B/s", "control msg/s", "request B/s" });
    for (const auto &slope : slopesOf(measurements.loads)) {
        printLine(stream,
                  { slope.of,
                    textOf(slope.cpuPercent, 4),
                    textOf(slope.memoryKiB, 1),
                    textOf(slope.controlBytes, 1),
                    textOf(slope.controlMessages, 3),
                    textOf(slope.requestBytes, 1) });
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
    for (const auto &slope : slopesOf(measurements.loads)) {
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
