#include "dispatch/OwnerFixture.h"

#include "dispatch/CommitQueue.h"
#include "entry/SettingsUpdate.h"
#include "observability/EventLog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace auburndoor {

namespace {

constexpr Milliseconds timeStep { 20 };

QueueSpec makeQueue(const std::string &name, int priority)
{
    QueueSpec queue;
    queue.name = name;
    queue.host = "host";
    queue.pathPrefix = "/" + name + "/";
    queue.service = "desk";
    queue.priority = priority;
    queue.maxAttempts = 2;
    queue.slackFactor = 3;
    queue.latencyAllowance = Milliseconds(500);
    return queue;
}

} // namespace

void FakeAdvisor::ask(const AdviceRequest &request, Callback callback)
{
    ++requestCount;
    lastRequestAt = timers_.now();
    AdviceResult result;
    result.outcome = AdviceResult::Outcome::Answered;
    result.validity = validity;
    for (const auto &worker : request.workers) {
        if (!denied.contains(worker)) {
            result.permits.push_back({ worker, "ticket-" + worker });
        }
    }
    timers_.after(responseTime, [callback = std::move(callback), result] { callback(result); });
}

OwnerFixture::OwnerFixture(Milliseconds clockStart)
    : timers(clockStart), store(timers), fleet(timers), advisor(timers), checker_(fleet)
{
    if (std::getenv("OWNER_TRACE") != nullptr) {
        EventLog::configure("owner");
    }
    settings_.nodeName = "node";
    desiredState_.version = 1;
    desiredState_.queues = { makeQueue("urgent", 0), makeQueue("normal", 2), makeQueue("advised", 1) };
    desiredState_.queues.back().advice = AdvicePolicy { AdvicePolicy().decisionTime,
                                                        AdvicePolicy().timePerWorker,
                                                        Milliseconds(1500) };
    plan = [](const TaskName &, std::int64_t) { return SimulatedWork(); };
    fleet.deliverReply = [this](std::int64_t token, std::function<void()> reply) { clock(token).deliver(std::move(reply)); };
    fleet.onStarted = [this](SimulatedWorker &worker, const StartCommand &command) {
        starts.push_back(command);
        checker_.check(worker, command);
    };
}

OwnerFixture::~OwnerFixture()
{
    // The owners use the members that are destroyed before them.
    owner.reset();
    formerOwners_.clear();
    EventLog::flush();
}

SimulatedWorker &OwnerFixture::addWorker(const std::string &id, int cores, const std::string &service)
{
    WorkerEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = { "10.0.0.1", static_cast<std::uint16_t>(80 + fleet.workers().size()) };
    entry.labels = { "a", "r1" };
    entry.capacity = { std::int64_t(cores) * 1000, 1 << 20, 0, 0, 0 };
    entry.incarnation = 1;
    auto &worker = fleet.add(entry, [this](const TaskName &task, std::int64_t attempt) { return plan(task, attempt); });
    list(id);
    return worker;
}

void OwnerFixture::list(const std::string &id, bool isDraining)
{
    const auto &entry = fleet.worker(id).entry();
    const nlohmann::json row { { "service", entry.service },
                               { "address", entry.address.text() },
                               { "zone", "z" },
                               { "state", isDraining ? "draining" : "ready" },
                               { "capacity",
                                 { { "cpu", entry.capacity.milliCores }, { "memMb", entry.capacity.memoryMiB }, { "gpu", 0 } } },
                               { "labels", entry.labels },
                               { "seq", ++reportCounts_[{ id, entry.incarnation }] },
                               { "born", entry.incarnation } };
    store.write("servers", id, row.dump());
}

void OwnerFixture::unlist(const std::string &id)
{
    store.remove("servers", id);
}

void OwnerFixture::moveQueue(const std::string &queue, const std::string &service)
{
    ++desiredState_.version;
    for (auto &candidate : desiredState_.queues) {
        candidate.service = candidate.name == queue ? service : candidate.service;
    }
    owner->setDesiredState(desiredState_);
}

void OwnerFixture::setAccounts(std::vector<ClientAccount> accounts)
{
    ++desiredState_.version;
    desiredState_.accounts = std::move(accounts);
    if (owner) {
        owner->setDesiredState(desiredState_);
    }
}

void OwnerFixture::removeQueue(const std::string &queue)
{
    ++desiredState_.version;
    std::erase_if(desiredState_.queues, [&queue](const auto &candidate) { return candidate.name == queue; });
    owner->setDesiredState(desiredState_);
}

void OwnerFixture::takeOver(bool isFormerOwnerKilled)
{
    if (isFormerOwnerKilled) {
        killOwner();
    } else if (owner) {
        formerOwners_.push_back(std::move(owner));
    }
    store.write(FencingRows::table, FencingRows::epochKey, "token " + std::to_string(++fencingToken_));
    const auto *sequence = store.row(FencingRows::table, FencingRows::sequenceKey);
    const Ownership ownership { fencingToken_,
                                store.row(FencingRows::table, FencingRows::epochKey)->version,
                                sequence == nullptr ? 0 : sequence->version,
                                CallTime::now(timers) };
    auto &factory = clients == nullptr ? fleet : *clients;
    owner = std::make_unique<Owner>(
        OwnerDependencies { clock(fencingToken_), link(fencingToken_), storeTimeline_, factory, advisor, protocol_, settings_ },
        ownership,
        [] {});
    owner->setDesiredState(desiredState_);
    owner->start();
    timers.advance(Milliseconds(600));
}

void OwnerFixture::cutOff(std::int64_t token, const std::set<std::string> &workers, bool isStoreCut)
{
    link(token).isCut = isStoreCut;
    for (const auto &[id, worker] : fleet.workers()) {
        if (workers.contains(id)) {
            worker->cutOffTokens.insert(token);
        }
    }
}

PausableTimers &OwnerFixture::clock(std::int64_t token)
{
    return clocks_.try_emplace(token, timers).first->second;
}

PartitionedStore &OwnerFixture::link(std::int64_t token)
{
    auto &timersOfOwner = clock(token);
    auto &link = links_.try_emplace(token, timersOfOwner, store).first->second;
    link.deliverReply = [&timersOfOwner](std::function<void()> reply) { timersOfOwner.deliver(std::move(reply)); };
    return link;
}

PartitionedStore &OwnerFixture::storeLink()
{
    return link(owner->token());
}

void OwnerFixture::pauseOwner()
{
    clock(owner->token()).pause();
}

bool OwnerFixture::isOwnerServing()
{
    return owner && !clock(owner->token()).isPaused() && owner->isReady();
}

void OwnerFixture::resumeOwners()
{
    for (auto &[token, clock] : clocks_) {
        clock.resume();
    }
}

void OwnerFixture::setMaxLease(Milliseconds maxLease)
{
    settings_.maxLease = maxLease;
}

void OwnerFixture::heal(std::int64_t token)
{
    link(token).isCut = false;
    for (const auto &[id, worker] : fleet.workers()) {
        worker->cutOffTokens.erase(token);
    }
}

void OwnerFixture::heal()
{
    for (auto &[token, link] : links_) {
        link.isCut = false;
        link.refusesReads = false;
    }
    for (const auto &[id, worker] : fleet.workers()) {
        worker->cutOffTokens.clear();
    }
}

void OwnerFixture::changeEntryLifetime(Milliseconds entryLifetime)
{
    auto read = settings_;
    read.entryLifetime = entryLifetime;
    updateSettings(settings_, read);
}

void OwnerFixture::killOwner()
{
    owner.reset();
}

const std::vector<std::string> &OwnerFixture::violations() const
{
    return checker_.violations;
}

ClientResult::Outcome OwnerFixture::submit(const std::string &id, const std::string &body, const std::string &queue)
{
    std::string error;
    if (auto spec = protocol_.readJob(body, error)) {
        checker_.addJob(id, *spec);
    }
    ClientCall call;
    call.kind = ClientCall::Kind::Submit;
    call.queue = queue;
    call.job = id;
    call.account = account;
    call.body = body;
    auto answer = std::make_shared<std::optional<ClientResult::Outcome>>();
    owner->call(call, [answer](const ClientResult &result) { *answer = result.outcome; });
    for (int step = 0; step < 200 && !*answer; ++step) {
        timers.advance(timeStep);
    }
    return answer->value_or(ClientResult::Outcome::Unknown);
}

ClientResult::Outcome OwnerFixture::cancel(const std::string &id)
{
    ClientCall call;
    call.kind = ClientCall::Kind::Cancel;
    call.job = id;
    auto answer = std::make_shared<std::optional<ClientResult::Outcome>>();
    owner->call(call, [answer](const ClientResult &result) { *answer = result.outcome; });
    for (int step = 0; step < 200 && !*answer; ++step) {
        timers.advance(timeStep);
    }
    return answer->value_or(ClientResult::Outcome::Unknown);
}

std::optional<JobStage> OwnerFixture::stage(const std::string &id)
{
    ClientCall call;
    call.kind = ClientCall::Kind::Query;
    call.job = id;
    // The owner may answer later, as after it has read the row of the epoch.
    auto stage = std::make_shared<std::optional<JobStage>>();
    owner->call(call, [stage](const ClientResult &result) {
        if (result.outcome == ClientResult::Outcome::Answered) {
            *stage = result.stage;
        }
    });
    return *stage;
}

bool OwnerFixture::runUntil(const std::string &id, JobStage wanted, Milliseconds limit)
{
    for (Milliseconds elapsed { 0 }; elapsed < limit; elapsed += timeStep) {
        if (owner && owner->isReady() && stage(id) == wanted) {
            return true;
        }
        timers.advance(timeStep);
    }
    return false;
}

std::string jobBody(int tasks, int milliCores, const std::string &fields)
{
    std::string body = R"({"spec":"payload","taskGroups":[{"count":)";
    body += std::to_string(tasks);
    body += R"(,"cpu":)" + std::to_string(milliCores);
    body += R"(,"memMb":10,"estimateMs":500)";
    body += fields;
    body += "}]}";
    return body;
}

} // namespace auburndoor
