#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace auburndoor {

namespace {

constexpr std::chrono::seconds startupLimit { 30 };
constexpr std::chrono::milliseconds callTimeout { 5000 };
/** SHA-256 of "example-token-shortlists". */
constexpr const char *teamDigest = "9bdea758a2a609c4bf232cf4c9a7a3e9af7630d9bfd1e42509cdac2985057667";

} // namespace

SystemFixture::SystemFixture(const std::string &name, unsigned seed)
    : cell(PROGRAM_FOLDER, std::string(PROGRAM_FOLDER) + "/system-" + name, { 3000, 1000 })
    , seed_(seed)
    , callers_([this] { return balancerAddresses(); }, history)
{
    cell.startPlatform();
    for (const std::string domain : { "harbour", "papine" }) {
        cell.startWorkers({ "namedesk", domain, "kingston", static_cast<int>(workerCount) / 2 });
    }
    for (const std::string id : { "entry-1", "entry-2", "entry-3" }) {
        startInstance(id);
    }
    for (const auto &id : cell.instances()) {
        REQUIRE(cell.waitUntilReady(id, startupLimit));
        setInBalancer(id, true);
    }
    const auto applied = cell.apply("entry-1", declaration(1), 0);
    REQUIRE(applied);
    INFO(applied->body);
    REQUIRE(applied->status == 200);
    REQUIRE(waitForAllWorkers(startupLimit));
}

std::string SystemFixture::declaration(int weight)
{
    return R"({"services": {"namedesk": {"need": {"milliCores": 4000, "memoryMiB": 4096, "slots": 1, "connections": 1},
        "defaultDeadlineMs": 3000, "maximumDeadlineMs": 60000, "nonRepeatableKinds": ["vetting"]}},
        "teams": {"shortlists": {"tokenDigest": ")"
           + std::string(teamDigest) + R"(", "weight": )" + std::to_string(weight) + "}}}";
}

std::string SystemFixture::failureDomainOf(const std::string &instance)
{
    return instance == "entry-2" ? "papine" : "harbour";
}

void SystemFixture::startInstance(const std::string &instance, bool isOnOldPorts)
{
    cell.startInstance(instance, failureDomainOf(instance), "kingston", {}, isOnOldPorts);
}

void SystemFixture::startCallers(const CallerLoad &load)
{
    CallerPlan repeatablePlan;
    repeatablePlan.service = "namedesk";
    repeatablePlan.token = "example-token-shortlists";
    repeatablePlan.kind = "shortlist";
    repeatablePlan.runMs = load.runMs;
    repeatablePlan.timeoutMs = load.timeoutMs;
    callers_.start(load.repeatable, repeatablePlan);
    auto nonRepeatablePlan = repeatablePlan;
    nonRepeatablePlan.kind = "vetting";
    nonRepeatablePlan.isNonRepeatable = true;
    callers_.start(load.nonRepeatable, nonRepeatablePlan);
}

void SystemFixture::startCallersBeyondCapacity()
{
    // While one instance is frozen, a third of the callers waits for it; the others still exceed the places. The timeout is longer
    // than a takeover, so that requests at a frozen instance have not expired when it is thawed.
    startCallers({ 100, 12, 100, 15'000 });
    REQUIRE(waitForFreePlaces(0, startupLimit));
}

void SystemFixture::kill(const std::string &instance)
{
    cell.instance(instance).signal(SIGKILL);
    cell.instance(instance).waitForExit(startupLimit);
    setInBalancer(instance, false);
    cell.forgetInstance(instance);
}

void SystemFixture::freeze(const std::string &instance)
{
    cell.instance(instance).signal(SIGSTOP);
    frozen_.insert(instance);
    setInBalancer(instance, false);
}

void SystemFixture::thaw(const std::string &instance)
{
    cell.instance(instance).signal(SIGCONT);
    frozen_.erase(instance);
    setInBalancer(instance, true);
}

void SystemFixture::runFor(std::chrono::milliseconds duration)
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
        balancerAddresses_.insert(cell.callersAddress(instance));
    } else {
        balancerAddresses_.erase(cell.callersAddress(instance));
    }
}

std::vector<std::string> SystemFixture::balancerAddresses() const
{
    const std::lock_guard lock(mutex_);
    return { balancerAddresses_.begin(), balancerAddresses_.end() };
}

std::string SystemFixture::callOperators(const std::string &instance,
                                         const std::string &method,
                                         const std::string &path,
                                         const std::string &body,
                                         const std::string &key) const
{
    std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    if (!key.empty()) {
        headers["Idempotency-Key"] = key;
    }
    const auto reply = Cell::call(cell.operatorsAddress(instance), method, path, body, headers, callTimeout);
    return reply ? reply->body : std::string();
}

std::set<std::string> SystemFixture::readOwnedWorkers(const std::string &instance) const
{
    std::set<std::string> owned;
    const auto status = nlohmann::json::parse(callOperators(instance, "GET", "/v1/status"), nullptr, false);
    for (const auto &worker : status.is_object() ? status.value("workers", nlohmann::json::array()) : nlohmann::json::array()) {
        owned.insert(worker.value("id", ""));
    }
    return owned;
}

std::string SystemFixture::findLargestOwner() const
{
    std::string largest;
    std::size_t count = 0;
    for (const auto &id : runningInstances()) {
        if (const auto owned = readOwnedWorkers(id).size(); owned > count) {
            largest = id;
            count = owned;
        }
    }
    REQUIRE(!largest.empty());
    return largest;
}

std::vector<std::string> SystemFixture::runningInstances() const
{
    auto ids = cell.instances();
    std::erase_if(ids, [this](const std::string &id) { return frozen_.contains(id); });
    return ids;
}

bool SystemFixture::waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

bool SystemFixture::waitForAllWorkers(std::chrono::milliseconds limit)
{
    return waitFor(limit, [&] {
        std::set<std::string> owned;
        for (const auto &id : runningInstances()) {
            owned.merge(readOwnedWorkers(id));
        }
        return owned.size() == workerCount;
    });
}

bool SystemFixture::waitForFreePlaces(int count, std::chrono::milliseconds limit)
{
    return waitFor(limit, [&] {
        int free = 0;
        for (const auto &id : runningInstances()) {
            const auto status = nlohmann::json::parse(callOperators(id, "GET", "/v1/status"), nullptr, false);
            for (const auto &pool : status.is_object() ? status.value("pools", nlohmann::json::array()) : nlohmann::json::array()) {
                free += pool.value("freePlaces", 0);
            }
        }
        return free == count;
    });
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

long long SystemFixture::readVersion(const std::string &instance) const
{
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    const auto reply = Cell::call(cell.operatorsAddress(instance), "GET", "/v1/configuration", {}, headers, callTimeout);
    const auto json = nlohmann::json::parse(reply ? reply->body : "{}", nullptr, false);
    return json.is_object() ? json.value("version", -1LL) : -1;
}

CheckResult SystemFixture::checkPromises(const std::string &faults)
{
    const auto records = history.records();
    auto result = HistoryChecker::check(records, HistoryChecker::read(cell.workerAddresses()));
    std::cout << "calls | " << faults << " | " << records.size() << " calls: " << history.count("answered") << " answered, "
              << history.count("not-run") << " not run, " << history.count("unknown") << " unknown, " << history.count("broken")
              << " broken\n";
    report(result, faults);
    return result;
}

void SystemFixture::report(const CheckResult &result, const std::string &faults) const
{
    for (const auto &[promise, checked] : result.checked) {
        if (checked == 0) {
            continue;
        }
        std::cout << "proof | " << name(promise) << " | " << faults << " | " << checked << " | " << seed_ << " | "
                  << (result.count(promise) == 0 ? "holds" : "VIOLATED") << '\n';
    }
    std::cout << result.text() << std::flush;
}

} // namespace auburndoor
