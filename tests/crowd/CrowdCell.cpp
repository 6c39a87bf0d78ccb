#include "crowd/CrowdCell.h"

#include "JobCodec.h"
#include "crowd/CrowdRequests.h"
#include "fakes/JobIds.h"
#include "net/HttpChannels.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <optional>

namespace auburndoor {

namespace {

constexpr int workerCount = 2;
constexpr Milliseconds waitLimit { 30000 };
// A crowd that goes on sending or reading slowly is observed for so long.
constexpr Milliseconds maxCrowdDuration { 4000 };
constexpr Milliseconds quietDuration { 400 };
// The descriptors that the settings reserve for files.
constexpr int fileDescriptors = 200;

constexpr const char *jobBody = R"({"spec":"p","taskGroups":[{"count":1,"cpu":100,"memMb":1,"estimateMs":100}]})";

EntryOptions makeOptions(int memoryMb, int maxFds)
{
    EntryOptions options;
    options.memoryMb = memoryMb;
    options.maxFds = maxFds;
    return options;
}

} // namespace

CrowdCell::CrowdCell(const std::string &name, int memoryMb, int maxFds)
    : memoryMb_(memoryMb)
    , maxFds_(maxFds)
    , cell_(
          1,
          1,
          workerCount,
          std::string(PROGRAM_FOLDER) + "/crowd-" + name,
          [](const TaskName &, std::int64_t) {
              return SimulatedWork { Milliseconds(50), RunOutcome::Done };
          },
          [memoryMb, maxFds](int) { return makeOptions(memoryMb, maxFds); })
{
    // Some crowds submit this job.
    addJob(std::string(routePath).substr(std::string("/jobs/").size()));
    REQUIRE(runOneJob());
    constexpr int warmUpJobs = 10;
    for (int number = 0; number < warmUpJobs; ++number) {
        REQUIRE(runOneJob());
    }
    memoryAtStartKb_ = memoryKb("VmRSS");
    descriptorsAtStart_ = openDescriptors();
}

Address CrowdCell::clients() const
{
    return cell_.entries.front()->clientAddress();
}

Address CrowdCell::readiness() const
{
    return cell_.entries.front()->readinessAddress();
}

Address CrowdCell::peers() const
{
    return cell_.entries.front()->peerAddress();
}

Address CrowdCell::operators() const
{
    return cell_.entries.front()->operatorAddress();
}

long long CrowdCell::memoryKb(const std::string &name) const
{
    std::ifstream status("/proc/" + std::to_string(cell_.entries.front()->processId()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::stoll(line.substr(name.size() + 1));
        }
    }
    return 0;
}

long long CrowdCell::openDescriptors() const
{
    const auto folder = "/proc/" + std::to_string(cell_.entries.front()->processId()) + "/fd";
    std::error_code error;
    return std::distance(std::filesystem::directory_iterator(folder, error), std::filesystem::directory_iterator());
}

SendResult CrowdCell::call(const std::string &method, const std::string &job, const std::string &body)
{
    constexpr Milliseconds timeout { 3000 };
    HttpChannels channels(cell_.loop, clients(), {});
    std::optional<SendResult> result;
    WebRequest request { method, "/jobs/" + job, { { "Host", "cell.example" }, { "Deadline-Ms", "3000" } }, body };
    channels.send(std::move(request), timeout, [&](SendResult sent) { result = std::move(sent); });
    cell_.runUntil([&] { return result.has_value(); }, waitLimit);
    return result.value_or(SendResult());
}

void CrowdCell::addJob(const std::string &job)
{
    std::string error;
    cell_.platform.checker.addJob(job, platform::readJob(jobBody, error).value());
}

bool CrowdCell::runOneJob()
{
    const auto job = jobIdOf(++lastJobNumber_);
    addJob(job);
    const auto isAccepted = [&] { return call("POST", job, jobBody).hasStatus(200); };
    const auto hasEnded = [&] { return call("GET", job).reply.body.find("completed") != std::string::npos; };
    return cell_.runUntil(isAccepted, waitLimit) && cell_.runUntil(hasEnded, waitLimit);
}

void CrowdCell::checkAlive()
{
    REQUIRE_FALSE(cell_.entries.front()->hasEndedByItself());
    // The test shows the value that breaks a bound: memory in KiB, and descriptors.
    constexpr int kibInMib = 1024;
    CHECK(memoryKb("VmHWM") <= static_cast<long long>(memoryMb_) * kibInMib);
    CHECK(openDescriptors() <= maxFds_ - fileDescriptors);
}

void CrowdCell::run(const Address &target, const CrowdPlan &plan)
{
    {
        Crowd crowd(cell_.loop, target, plan);
        crowd.start();
        const auto end = cell_.loop.now() + maxCrowdDuration;
        for (auto before = -1LL; crowd.transferred() != before && cell_.loop.now() < end;) {
            before = crowd.transferred();
            cell_.runFor(quietDuration);
        }
        checkAlive();
        CHECK(runOneJob());
    }
    CHECK(runOneJob());
    cell_.runUntil([this] { return openDescriptors() <= descriptorsAtStart_ + fileDescriptors / 10; }, waitLimit);
    cell_.runUntil([this] { return memoryKb("VmRSS") * 3 <= memoryAtStartKb_ * 4; }, waitLimit / 3);
    checkAlive();
    CHECK(memoryKb("VmRSS") * 3 <= memoryAtStartKb_ * 4);
    CHECK(openDescriptors() <= descriptorsAtStart_ + fileDescriptors / 10);
}

void CrowdCell::runEverywhere(const std::function<CrowdPlan(const std::string &path)> &planOf)
{
    SECTION("at the clients' address on a route")
    {
        run(clients(), planOf(routePath));
    }
    SECTION("at the clients' address without a route")
    {
        run(clients(), planOf(pathWithoutRoute));
    }
    SECTION("at the readiness address")
    {
        run(readiness(), planOf(readinessPath));
    }
    SECTION("at the peers' address")
    {
        run(peers(), planOf(pathWithoutRoute));
    }
    SECTION("at the operators' address")
    {
        run(operators(), planOf(pathWithoutRoute));
    }
}

} // namespace auburndoor
