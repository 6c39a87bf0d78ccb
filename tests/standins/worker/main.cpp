#include "core/FlagNames.h"
#include "core/SystemClock.h"
#include "fakes/WorkerServer.h"
#include "http/HttpClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, id, "worker-0", "id of the first worker; the number at its end is incremented for each further one");
ABSL_FLAG(int, count, 1, "number of workers in this process, each with a port of its own");
ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(int, port, 0, "port of the first worker, consecutive for the others; 0 lets the system choose");
ABSL_FLAG(std::string, port_file, "", "file that receives the port numbers, one per line, once all workers listen");
ABSL_FLAG(std::string, service, "default", "service whose pool the workers belong to");
ABSL_FLAG(std::string, failure_domain, "domain-0", "failure domain of the workers");
ABSL_FLAG(std::string, region, "region-0", "region of the workers");
ABSL_FLAG(long long, milli_cores, 32000, "CPU capacity of each worker, in thousandths of a core");
ABSL_FLAG(long long, memory_mib, 131072, "memory of each worker in MiB");
ABSL_FLAG(long long, accelerators, 0, "accelerators of each worker");
ABSL_FLAG(long long, slots, 8, "tasks that each worker runs concurrently");
ABSL_FLAG(long long, connections, 64, "maximum number of open calls to each worker");
ABSL_FLAG(std::string, platform, "", "ip:port of the platform to register the workers with; empty for none");

namespace {

using namespace auburndoor;

constexpr Milliseconds registrationTimeout { 5000 };

/** Returns the id of the worker at an index: the first id with the index added to the number at its end. */
std::string makeWorkerId(const std::string &first, int index)
{
    const auto end = first.find_last_not_of("0123456789");
    const auto digits = end == std::string::npos ? 0 : end + 1;
    if (index == 0 || digits == first.size()) {
        return index == 0 ? first : first + "-" + std::to_string(index);
    }
    return first.substr(0, digits) + std::to_string(std::stoll(first.substr(digits)) + index);
}

bool registerWorker(HttpClient &platform, const std::string &id, const std::string &address, const char *state)
{
    const nlohmann::json body { { "address", address },
                                { "service", absl::GetFlag(FLAGS_service) },
                                { "failureDomain", absl::GetFlag(FLAGS_failure_domain) },
                                { "region", absl::GetFlag(FLAGS_region) },
                                { "capacity",
                                  { { "milliCores", absl::GetFlag(FLAGS_milli_cores) },
                                    { "memoryMiB", absl::GetFlag(FLAGS_memory_mib) },
                                    { "accelerators", absl::GetFlag(FLAGS_accelerators) },
                                    { "slots", absl::GetFlag(FLAGS_slots) },
                                    { "connections", absl::GetFlag(FLAGS_connections) } } },
                                { "state", state } };
    Failure failure;
    Delivery delivery = Delivery::NotSent;
    const auto reply = platform.exchange("PUT", "/v1/workers/" + id, body.dump(), {}, registrationTimeout, true, delivery, failure);
    if (!reply || reply->status >= 300) {
        std::cerr << "cannot register " << id << ": " << (reply ? std::to_string(reply->status) : failure.text()) << '\n';
        return false;
    }
    return true;
}

/** Writes a temporary file and renames it, so that a reader never sees a partial file. */
bool writePortFile(const std::string &path, const std::vector<int> &ports)
{
    const auto temporary = path + ".new";
    {
        std::ofstream file(temporary);
        for (const auto port : ports) {
            file << port << '\n';
        }
        if (!file.flush()) {
            return false;
        }
    }
    return std::rename(temporary.c_str(), path.c_str()) == 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in for workers: simulates tasks, in the protocol of docs/protocols/worker.md.");
    acceptHyphens(argc, argv);
    absl::ParseCommandLine(argc, argv);
    // Blocks the signals before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    SystemClock clock;
    const Resources capacity { absl::GetFlag(FLAGS_milli_cores),
                               absl::GetFlag(FLAGS_memory_mib),
                               absl::GetFlag(FLAGS_accelerators),
                               absl::GetFlag(FLAGS_slots),
                               absl::GetFlag(FLAGS_connections) };
    HttpClient platform(absl::GetFlag(FLAGS_platform), 1);
    const bool hasPlatform = !absl::GetFlag(FLAGS_platform).empty();
    std::vector<std::unique_ptr<WorkerServer>> workers;
    std::vector<int> ports;
    for (int index = 0; index < absl::GetFlag(FLAGS_count); ++index) {
        const auto id = makeWorkerId(absl::GetFlag(FLAGS_id), index);
        workers.push_back(std::make_unique<WorkerServer>(WorkerId(id), capacity, clock));
        const auto requestedPort = absl::GetFlag(FLAGS_port) == 0 ? 0 : absl::GetFlag(FLAGS_port) + index;
        const auto port = workers.back()->start(absl::GetFlag(FLAGS_address), requestedPort);
        if (port == 0) {
            std::cerr << "cannot listen for " << id << '\n';
            return 1;
        }
        ports.push_back(port);
        const auto address = absl::GetFlag(FLAGS_address) + ":" + std::to_string(port);
        if (hasPlatform && !registerWorker(platform, id, address, "live")) {
            return 1;
        }
    }
    if (!absl::GetFlag(FLAGS_port_file).empty() && !writePortFile(absl::GetFlag(FLAGS_port_file), ports)) {
        std::cerr << "cannot write " << absl::GetFlag(FLAGS_port_file) << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    for (std::size_t index = 0; hasPlatform && index < workers.size(); ++index) {
        const auto address = absl::GetFlag(FLAGS_address) + ":" + std::to_string(ports[index]);
        registerWorker(platform, workers[index]->worker().id().text(), address, "gone");
    }
    return 0;
}
