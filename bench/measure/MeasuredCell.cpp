#include "measure/MeasuredCell.h"

#include "measure/InstanceProbe.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace auburndoor {

namespace {

constexpr std::chrono::milliseconds readyTimeout { 30'000 };
constexpr std::chrono::milliseconds callTimeout { 15'000 };
constexpr std::chrono::milliseconds pollPeriod { 100 };
constexpr int domainCount = 3;
constexpr int teamCount = 25;
/** SHA-256 of MeasuredCell::teamToken. */
constexpr const char *teamDigest = "9bdea758a2a609c4bf232cf4c9a7a3e9af7630d9bfd1e42509cdac2985057667";

std::string domainName(int index)
{
    return "domain-" + std::to_string(index % domainCount);
}

void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + readyTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            throw std::runtime_error("timed out waiting until " + what);
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}

std::string makeDigest(int team)
{
    constexpr int digestLength = 64;
    std::ostringstream stream;
    stream << std::setw(digestLength) << std::setfill('0') << team;
    return stream.str();
}

} // namespace

MeasuredCell::MeasuredCell(const MeasuredCellPlan &plan) : cell_(plan.programs, plan.folder, plan.times)
{
    cell_.startPlatform();
    for (int index = 0; index < plan.instances; ++index) {
        cell_.startInstance("entry-" + std::to_string(index + 1), domainName(index), "region-0", plan.extraSettings);
    }
    for (const auto &id : cell_.instances()) {
        if (!cell_.waitUntilReady(id, readyTimeout)) {
            throw std::runtime_error(id + " did not become ready within the time limit");
        }
    }
    if (!apply("entry-1", 1000, 0)) {
        throw std::runtime_error("the initial declaration was not accepted");
    }
}

void MeasuredCell::startWorkers(int domain, int count, int slots)
{
    WorkerGroup group { "desk", domainName(domain), "region-0", count };
    group.slots = slots;
    cell_.startWorkers(group);
    workers_ += count;
}

void MeasuredCell::waitUntilOwned() const
{
    waitUntil("all workers are owned", [this] {
        const auto owned = readOwnedWorkers();
        return std::accumulate(owned.begin(), owned.end(), 0) == workers_;
    });
}

void MeasuredCell::addTasks(int jobs, int tasksPerJob)
{
    const nlohmann::json job { { "kind", "batch" },
                               { "team", "shortlists" },
                               { "service", "desk" },
                               { "taskCount", tasksPerJob },
                               { "body", R"({"runMs": 3600000})" },
                               { "maximumAttempts", 1 } };
    const auto ids = cell_.instances();
    for (int index = 0; index < jobs; ++index) {
        const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + teamToken },
                                                           { "Idempotency-Key", "long-" + std::to_string(++jobs_) } };
        const auto address = cell_.callersAddress(ids[static_cast<std::size_t>(index) % ids.size()]);
        const auto reply = Cell::call(address, "POST", "/v1/jobs", job.dump(), headers, callTimeout);
        if (!reply || reply->status != 202) {
            throw std::runtime_error("a job was not accepted: " + (reply ? reply->body : std::string("no reply")));
        }
    }
    tasks_ += jobs * tasksPerJob;
    waitUntil("all tasks are started", [this] { return readStartedTasks() >= tasks_; });
}

double MeasuredCell::readStartedTasks()
{
    double started = 0;
    for (const auto &id : cell_.instances()) {
        started += InstanceProbe::sample(cell_, id).traffic.messages["worker/start"];
    }
    return started;
}

std::string MeasuredCell::makeDeclaration(int queueLimit)
{
    nlohmann::json declarationJson;
    declarationJson["services"]["desk"] = { { "need", { { "milliCores", 4000 }, { "memoryMiB", 12288 }, { "connections", 8 } } },
                                            { "queueLimit", queueLimit } };
    declarationJson["teams"]["shortlists"] = { { "tokenDigest", teamDigest } };
    for (int team = 1; team < teamCount; ++team) {
        declarationJson["teams"]["team-" + std::to_string(team)] = { { "tokenDigest", makeDigest(team) },
                                                                     { "quota", { { "milliCores", 1'000'000 } } } };
    }
    return declarationJson.dump();
}

bool MeasuredCell::apply(const std::string &instance, int queueLimit, long long expectedVersion)
{
    const auto reply = cell_.apply(instance, makeDeclaration(queueLimit), expectedVersion);
    if (!reply || reply->status / 100 != 2) {
        std::cerr << "the declaration was not applied: " << (reply ? reply->body : std::string("no reply")) << '\n';
        return false;
    }
    return true;
}

std::vector<int> MeasuredCell::readOwnedWorkers() const
{
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    std::vector<int> owned;
    for (const auto &id : cell_.instances()) {
        const auto reply = Cell::call(cell_.operatorsAddress(id), "GET", "/v1/status", {}, headers, callTimeout);
        const auto status = nlohmann::json::parse(reply ? reply->body : "{}", nullptr, false);
        owned.push_back(static_cast<int>(status.value("workers", nlohmann::json::array()).size()));
    }
    return owned;
}

Cell &MeasuredCell::cell()
{
    return cell_;
}

} // namespace auburndoor
