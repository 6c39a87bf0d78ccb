#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace auburndoor {

namespace {

constexpr std::chrono::seconds startLimit { 30 };
constexpr std::chrono::milliseconds callTimeout { 5000 };
/** SHA-256 of "example-token-shortlists". */
constexpr const char *teamDigest = "9bdea758a2a609c4bf232cf4c9a7a3e9af7630d9bfd1e42509cdac2985057667";

} // namespace

SystemFixture::SystemFixture(const std::string &name)
    : cell(PROGRAM_FOLDER, std::string(PROGRAM_FOLDER) + "/system-" + name, { 3000, 1000 })
    , callers_([this] { return balancerAddresses(); }, history)
{
    cell.startPlatform();
    for (const std::string domain : { "harbour", "papine" }) {
        cell.startWorkers({ "namedesk", domain, "kingston", static_cast<int>(workerCount) / 2 });
    }
    int number = 0;
    for (const std::string domain : { "harbour", "papine", "harbour" }) {
        cell.startInstance("entry-" + std::to_string(++number), domain, "kingston");
    }
    for (const auto &id : cell.instances()) {
        REQUIRE(cell.waitUntilReady(id, startLimit));
        setInBalancer(id, true);
    }
    const auto applied = cell.apply("entry-1", declaration(1), 0);
    REQUIRE(applied);
    INFO(applied->body);
    REQUIRE(applied->status == 200);
    REQUIRE(waitForAllWorkers(startLimit));
}

std::string SystemFixture::declaration(int weight)
{
    return R"({"services": {"namedesk": {"need": {"milliCores": 4000, "memoryMiB": 4096, "slots": 1, "connections": 1},
        "defaultDeadlineMs": 3000, "maximumDeadlineMs": 60000, "nonRepeatableKinds": ["vetting"]}},
        "teams": {"shortlists": {"tokenDigest": ")"
           + std::string(teamDigest) + R"(", "weight": )" + std::to_string(weight) + "}}}";
}

void SystemFixture::startCallers()
{
    CallerPlan repeatable;
    repeatable.service = "namedesk";
    repeatable.token = "example-token-shortlists";
    repeatable.kind = "shortlist";
    callers_.start(12, repeatable);
    auto vetting = repeatable;
    vetting.kind = "vetting";
    vetting.isNonRepeatable = true;
    callers_.start(6, vetting);
}

void SystemFixture::run(std::chrono::milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

void SystemFixture::stopCallers()
{
    callers_.stop();
}

void SystemFixture::setInBalancer(const std::string &instance, bool isIn)
{
    const std::lock_guard lock(mutex_);
    if (isIn) {
        balancer_.insert(cell.callersAddress(instance));
    } else {
        balancer_.erase(cell.callersAddress(instance));
    }
}

std::vector<std::string> SystemFixture::balancerAddresses() const
{
    const std::lock_guard lock(mutex_);
    return { balancer_.begin(), balancer_.end() };
}

std::size_t SystemFixture::ownedWorkers() const
{
    std::set<std::string> owned;
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    for (const auto &id : cell.instances()) {
        const auto reply = Cell::call(cell.operatorsAddress(id), "GET", "/v1/status", {}, headers, std::chrono::milliseconds(500));
        const auto status = nlohmann::json::parse(reply ? reply->body : "{}", nullptr, false);
        for (const auto &worker : status.value("workers", nlohmann::json::array())) {
            owned.insert(worker.value("id", ""));
        }
    }
    return owned.size();
}

bool SystemFixture::waitForAllWorkers(std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (ownedWorkers() < workerCount) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
}

void SystemFixture::setPlatformFaults(const std::string &json)
{
    const auto reply = Cell::call(cell.platformAddress(), "PUT", "/v1/faults", json, {}, callTimeout);
    REQUIRE(reply);
    REQUIRE(reply->status == 200);
}

void SystemFixture::setWorkerFaults(const std::string &json)
{
    for (const auto &[id, address] : cell.workerAddresses()) {
        const auto reply = Cell::call(address, "PUT", "/v1/faults", json, {}, callTimeout);
        REQUIRE(reply);
        REQUIRE(reply->status == 200);
    }
}

long long SystemFixture::versionAt(const std::string &instance) const
{
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    const auto reply = Cell::call(cell.operatorsAddress(instance), "GET", "/v1/configuration", {}, headers, callTimeout);
    const auto json = nlohmann::json::parse(reply ? reply->body : "{}", nullptr, false);
    return json.is_object() ? json.value("version", -1LL) : -1;
}

std::vector<std::string> SystemFixture::judge(const std::string &promise, const std::string &faults)
{
    const auto records = history.records();
    auto violations = HistoryChecker::check(records, HistoryChecker::read(cell.workerAddresses()));
    std::cout << "proof | " << promise << " | " << faults << " | " << records.size() << " calls: " << history.count("answered")
              << " answered, " << history.count("not-run") << " not run, " << history.count("unknown") << " unknown, "
              << history.count("broken") << " broken | " << (violations.empty() ? "holds" : "VIOLATED") << std::endl;
    for (const auto &violation : violations) {
        std::cout << "  " << violation << '\n';
    }
    return violations;
}

} // namespace auburndoor
