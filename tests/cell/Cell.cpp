#include "cell/Cell.h"

#include "core/Failure.h"
#include "http/HttpClient.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace auburndoor {

namespace {

constexpr std::chrono::seconds startLimit { 30 };
constexpr std::chrono::milliseconds pollPeriod { 10 };
/** SHA-256 of Cell::operatorToken. */
constexpr const char *operatorTokenDigest = "28b4d376be300676535e5c2e84ee59134f60547645a325356868e6d3ff29a33c";
constexpr const char *peerSecret = "peer-secret-of-the-test-cell";

std::string readFile(const std::string &name)
{
    std::ifstream stream(name);
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

Cell::Cell(std::string programs, std::string folder, CellTimes times)
    : programs_(std::move(programs)), folder_(std::move(folder)), times_(times)
{
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
}

Cell::~Cell() = default;

std::string Cell::path(const std::string &name) const
{
    return folder_ + "/" + name;
}

std::string Cell::waitForFile(const std::string &name, ChildProcess &process) const
{
    const auto deadline = std::chrono::steady_clock::now() + startLimit;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto text = readFile(path(name));
        if (!text.empty() && text.back() == '\n') {
            return text.substr(0, text.size() - 1);
        }
        if (!process.isRunning()) {
            break;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    throw std::runtime_error("a process of the cell did not start; see the logs in " + folder_);
}

void Cell::startPlatform()
{
    platform_ = std::make_unique<ChildProcess>(
        std::vector<std::string> { programs_ + "/standin-platform", "--port=0", "--port_file=" + path("platform.port") },
        path("platform.log"));
    platformAddress_ = "127.0.0.1:" + waitForFile("platform.port", *platform_);
}

void Cell::startWorkers(const WorkerGroup &group)
{
    const auto id = group.service + "-" + group.failureDomain;
    workers_.push_back(
        std::make_unique<ChildProcess>(std::vector<std::string> { programs_ + "/standin-worker",
                                                                  "--id=" + id + "-1",
                                                                  "--count=" + std::to_string(group.count),
                                                                  "--service=" + group.service,
                                                                  "--failure_domain=" + group.failureDomain,
                                                                  "--region=" + group.region,
                                                                  "--milli_cores=" + std::to_string(group.milliCores),
                                                                  "--memory_mib=" + std::to_string(group.memoryMib),
                                                                  "--accelerators=" + std::to_string(group.accelerators),
                                                                  "--slots=" + std::to_string(group.slots),
                                                                  "--connections=" + std::to_string(group.connections),
                                                                  "--platform=" + platformAddress_,
                                                                  "--port_file=" + path(id + ".port") },
                                       path(id + ".log")));
    waitForFile(id + ".port", *workers_.back());
}

void Cell::startInstance(const std::string &id,
                         const std::string &failureDomain,
                         const std::string &region,
                         const std::string &extra,
                         bool isOnOldPorts)
{
    const auto wanted = isOnOldPorts ? ports_.at(id) : InstancePorts {};
    std::ofstream settings(path(id + ".json"));
    settings << "{\"instance\": {\"id\": \"" << id << "\", \"failureDomain\": \"" << failureDomain << "\", \"region\": \"" << region
             << "\"},\n"
             << " \"callers\": {\"address\": \"127.0.0.1\", \"port\": " << wanted.callers << "},\n"
             << " \"operators\": {\"address\": \"127.0.0.1\", \"port\": " << wanted.operators << ", \"tokenDigests\": [\""
             << operatorTokenDigest << "\"]},\n"
             << " \"peers\": {\"address\": \"127.0.0.1\", \"port\": " << wanted.peers << ", \"secret\": \"" << peerSecret
             << "\"},\n"
             << " \"ownership\": {\"leaseMs\": " << times_.leaseMs << ", \"renewalMs\": " << times_.renewalMs << "},\n"
             << " \"platform\": {\"addresses\": [\"" << platformAddress_ << "\"]}" << extra << "}\n";
    settings.close();
    const auto portFile = id + "." + std::to_string(++startCount_) + ".ports";
    instances_[id] = std::make_unique<ChildProcess>(std::vector<std::string> { programs_ + "/auburndoord",
                                                                               "--settings=" + path(id + ".json"),
                                                                               "--port_file=" + path(portFile) },
                                                    path(id + ".log"));
    const auto ports = nlohmann::json::parse(waitForFile(portFile, *instances_[id]));
    ports_[id] = { ports.at("callers"), ports.at("operators"), ports.at("peers") };
}

bool Cell::waitUntilReady(const std::string &id, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto reply = call(operatorsAddress(id), "GET", "/health/ready", {}, {}, std::chrono::milliseconds(1000));
        if (reply && reply->status == 200) {
            return true;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return false;
}

ChildProcess &Cell::instance(const std::string &id)
{
    return *instances_.at(id);
}

ChildProcess &Cell::platform()
{
    return *platform_;
}

void Cell::forgetInstance(const std::string &id)
{
    instances_.erase(id);
    ports_.erase(id);
}

std::vector<std::string> Cell::instances() const
{
    std::vector<std::string> ids;
    for (const auto &[id, process] : instances_) {
        ids.push_back(id);
    }
    return ids;
}

std::string Cell::callersAddress(const std::string &id) const
{
    return "127.0.0.1:" + std::to_string(ports_.at(id).callers);
}

std::string Cell::operatorsAddress(const std::string &id) const
{
    return "127.0.0.1:" + std::to_string(ports_.at(id).operators);
}

std::string Cell::platformAddress() const
{
    return platformAddress_;
}

std::map<std::string, std::string> Cell::workerAddresses() const
{
    std::map<std::string, std::string> addresses;
    const auto reply = call(platformAddress_, "GET", "/v1/workers?since=0", {}, {}, std::chrono::milliseconds(5000));
    const auto listing = nlohmann::json::parse(reply ? reply->body : "{}", nullptr, false);
    for (const auto &worker : listing.value("workers", nlohmann::json::array())) {
        // A test may have left odd entries, which are no workers.
        if (worker.at("id").get<std::string>().rfind("odd-", 0) != 0) {
            addresses[worker.at("id")] = worker.at("address");
        }
    }
    return addresses;
}

std::optional<HttpReply> Cell::call(const std::string &address,
                                    const std::string &method,
                                    const std::string &path,
                                    const std::string &body,
                                    const std::map<std::string, std::string> &headers,
                                    std::chrono::milliseconds timeout)
{
    HttpClient client(address, 0);
    Delivery delivery = Delivery::NotSent;
    Failure failure;
    return client.exchange(method, path, body, headers, timeout, false, delivery, failure);
}

std::optional<HttpReply> Cell::apply(const std::string &instance, const std::string &text, long long expectedVersion)
{
    const auto target = "/v1/configuration/apply?operator=test&expected-version=" + std::to_string(expectedVersion);
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + operatorToken } };
    return call(operatorsAddress(instance), "POST", target, text, headers, std::chrono::milliseconds(15'000));
}

bool Cell::stopInstances(std::chrono::milliseconds limit)
{
    for (auto &[id, process] : instances_) {
        process->signal(SIGTERM);
    }
    bool isClean = true;
    for (auto &[id, process] : instances_) {
        isClean = process->waitForExit(limit) == 0 && isClean;
    }
    return isClean;
}

} // namespace auburndoor
