#include "ReviewCell.h"

#include "entry/EpochRow.h"
#include "soak/LoopbackAddress.h"

#include <cstdlib>
#include <filesystem>

namespace auburndoor {

namespace {

constexpr int clientPort = 18149;
constexpr int readinessPort = 18141;
constexpr int firstPeerPort = 17380;
constexpr int firstAddressNumber = 10;
constexpr Milliseconds heartbeatInterval { 1500 };
constexpr Milliseconds timeBudget { 3000 };
constexpr Milliseconds retryDelay { 400 };
constexpr int maxAttempts = 5;

/** The time after which a client that was refused may return. */
Milliseconds readRetryAfter(const WebReply &reply)
{
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    return Milliseconds(body.is_object() ? body.value("retryAfterMs", retryDelay.count()) : retryDelay.count());
}

} // namespace

ReviewCell::ReviewCell(const std::string &program, const std::string &folder, const std::string &recordFile)
    : platform(loop), program_(program), folder_(folder), record_(recordFile), startedAt_(loop.now())
{
    platform.feedInterval = Milliseconds(20);
    platform.onStarted = [](const StartCommand &) {};
    std::filesystem::create_directories(folder);
}

Milliseconds ReviewCell::sinceStart() const
{
    return std::chrono::duration_cast<Milliseconds>(loop.now() - startedAt_);
}

void ReviewCell::record(const std::string &text)
{
    record_ << sinceStart().count() << " ms  " << text << std::endl;
}

void ReviewCell::writeDesiredState(const std::string &routes, const std::string &services)
{
    const auto text = R"({"version":1,"limits":{"maxBodyBytes":65536},"services":)" + services + R"(,"routes":)" + routes + "}";
    record("operator writes " + text);
    platform.store.write("op", "config", text);
}

void ReviewCell::addEntries(int count)
{
    for (int number = 0; number < count; ++number) {
        const auto ip = makeLoopbackAddress(firstAddressNumber + number);
        const auto name = "edge-" + std::to_string(number);
        const auto makeAddress = [&ip](int port) { return ip + ":" + std::to_string(port); };
        const nlohmann::json settings {
            { "nodeName", name },
            { "ip", ip },
            { "zone", "a" },
            { "listen", { { "front", makeAddress(clientPort) }, { "ready", makeAddress(readinessPort) } } },
            { "portRange", { firstPeerPort, firstPeerPort + 15 } },
            { "heartbeatMs", heartbeatInterval.count() },
            { "limits", { { "cpuShare", 0.25 }, { "memoryMb", 260 }, { "maxFds", 4100 }, { "linkMbps", 1000.0 } } },
            { "bounds",
              { { "maxHoldMs", maxHold.count() },
                { "killGraceMs", killGrace.count() },
                { "graceS", 6 },
                { "status_s", 120 },
                { "early_ms", 250 } } },
            { "platform", { { "address", platform.addStoreClient(name).text() }, { "maxRowBytes", 65536 } } },
        };
        std::ofstream(folder_ + "/" + name + ".json") << settings.dump(2);
        ips_.push_back(ip);
        clients_.push_back(
            std::make_unique<HttpChannels>(loop, Address { ip, clientPort }, HttpChannelLimits { .maxConnections = 64 }));
        probes_.push_back(
            std::make_unique<HttpChannels>(loop, Address { ip, readinessPort }, HttpChannelLimits { .maxConnections = 1 }));
    }
}

ReviewWorker &ReviewCell::addWorker(ReviewWorker::Identity identity)
{
    const auto id = identity.id;
    ReviewWorker::Hooks hooks;
    hooks.plan = [this](const std::string &task) { return plan(task); };
    hooks.onStarted = [this](const std::string &worker, const ReviewWorker::RunKey &run) {
        auto &task = tasks[run.first];
        ++task.runs;
        ++task.starts;
        record("worker " + worker + " starts " + run.first + ", attempt " + std::to_string(run.second));
    };
    hooks.onOver = [this](const std::string &worker, const ReviewWorker::RunKey &run, const std::string &how) {
        auto &task = tasks[run.first];
        --task.runs;
        task.failedEnds += how == "failed" ? 1 : 0;
        task.crashes += how == "crashed" ? 1 : 0;
        task.lastOverAt = loop.now();
        record("worker " + worker + " ends " + run.first + ", attempt " + std::to_string(run.second) + ": " + how);
    };
    workers[id] = std::make_unique<ReviewWorker>(loop, std::move(identity), maxHold, killGrace, std::move(hooks));
    heartbeat(id);
    return *workers.at(id);
}

void ReviewCell::heartbeat(const std::string &id)
{
    auto &worker = *workers.at(id);
    if (worker.isUp()) {
        platform.store.write("servers", id, worker.makeRow());
    }
    loop.after(heartbeatInterval, [this, id] { heartbeat(id); });
}

void ReviewCell::startEntries()
{
    for (std::size_t number = 0; number < ips_.size(); ++number) {
        const auto name = folder_ + "/edge-" + std::to_string(number);
        // The environment is inherited.
        setenv("AUBURNDOOR_NODE_FILE", (name + ".json").c_str(), 1);
        entries.push_back(
            std::make_unique<ChildProcess>(std::vector<std::string> { program_, "--metrics-port=9464" }, name + ".log"));
        record("edge-" + std::to_string(number) + " is started");
    }
}

void ReviewCell::runFor(Milliseconds duration)
{
    loop.after(duration, [this] { loop.stop(); });
    loop.run();
}

bool ReviewCell::runUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    constexpr Milliseconds interval { 50 };
    for (const auto end = loop.now() + limit; !condition() && loop.now() < end;) {
        runFor(interval);
    }
    return condition();
}

bool ReviewCell::waitUntilReady(Milliseconds limit)
{
    constexpr Milliseconds probeInterval { 250 };
    std::set<std::size_t> ready;
    auto nextProbe = loop.now();
    return runUntil(
        [&] {
            if (loop.now() >= nextProbe) {
                nextProbe = loop.now() + probeInterval;
                for (std::size_t number = 0; number < probes_.size(); ++number) {
                    probes_[number]->send(
                        { "GET", "/api/readyz", {}, {}, true }, Milliseconds(900), [number, &ready](const SendResult &sent) {
                            if (sent.hasStatus(200)) {
                                ready.insert(number);
                            }
                        });
                }
            }
            return ready.size() == probes_.size();
        },
        limit);
}

void ReviewCell::send(const std::string &method,
                      const std::string &prefix,
                      const std::string &id,
                      const std::string &body,
                      int attempt)
{
    const auto number = nextClient_++ % clients_.size();
    const auto what = method + " " + prefix + id + " at edge-" + std::to_string(number);
    WebRequest request {
        method, prefix + id, { { "Host", "shop.example" }, { "Deadline-Ms", std::to_string(timeBudget.count()) } }, body
    };
    clients_[number]->send(std::move(request), timeBudget, [this, method, prefix, id, body, attempt, what](const SendResult &sent) {
        const auto status = sent.outcome == SendOutcome::Answered ? std::to_string(sent.reply.status) : "no answer: " + sent.error;
        if (method == "POST") {
            record(what + ": " + status);
            if (sent.hasStatus(200)) {
                accepted.insert(id);
            } else if (attempt < maxAttempts) {
                loop.after(retryDelay, [this, method, prefix, id, body, attempt] { send(method, prefix, id, body, attempt + 1); });
            }
            return;
        }
        const auto json = nlohmann::json::parse(
            sent.outcome == SendOutcome::Answered ? sent.reply.body : std::string(), nullptr, false);
        const auto state = json.is_object() && json.contains("state") ? json["state"].get<std::string>() : status;
        if (std::exchange(states[id], state) != state) {
            record(what + ": " + status + ", state " + state);
        }
    });
}

void ReviewCell::submit(const std::string &prefix, const std::string &id, const std::string &body)
{
    record("client hands in " + prefix + id + ": " + body);
    send("POST", prefix, id, body, 1);
}

void ReviewCell::submitAt(std::size_t entry, const std::string &prefix, const std::string &id, const std::string &body, int retries)
{
    WebRequest request {
        "POST", prefix + id, { { "Host", "shop.example" }, { "Deadline-Ms", std::to_string(timeBudget.count()) } }, body
    };
    const auto what = "POST " + prefix + id + " at edge-" + std::to_string(entry) + ", sent at "
                      + std::to_string(sinceStart().count()) + " ms";
    clients_[entry]->send(std::move(request), timeBudget, [this, entry, prefix, id, body, retries, what](const SendResult &sent) {
        const bool isAnswered = sent.outcome == SendOutcome::Answered;
        answers[id].push_back(isAnswered ? std::to_string(sent.reply.status) : "no answer");
        record(what + ": " + answers[id].back());
        if (sent.hasStatus(200) || retries == 0) {
            return;
        }
        loop.after(isAnswered ? readRetryAfter(sent.reply) : retryDelay,
                   [this, next = (entry + 1) % clients_.size(), prefix, id, body, retries] {
                       submitAt(next, prefix, id, body, retries - 1);
                   });
    });
}

std::optional<std::size_t> ReviewCell::owner() const
{
    const auto *row = platform.store.row("cell", "epoch");
    const auto name = row == nullptr ? std::string() : EpochRow::read(*row).owner;
    return name.starts_with("edge-") ? std::optional<std::size_t>(std::stoul(name.substr(5))) : std::nullopt;
}

void ReviewCell::query(const std::string &prefix, const std::string &id)
{
    send("GET", prefix, id, {}, 1);
}

void ReviewCell::crash(const std::vector<std::string> &names)
{
    for (const auto &name : names) {
        record("worker " + name + " crashes");
        workers.at(name)->crash();
    }
}

void ReviewCell::lose(const std::string &worker)
{
    record("worker " + worker + " is lost for good");
    workers.at(worker)->crash();
    workers.at(worker)->link().setMode(FaultyLink::Mode::Unreachable);
    loop.after(3 * heartbeatInterval, [this, worker] { platform.store.remove("servers", worker); });
}

void ReviewCell::restart(const std::vector<std::string> &names)
{
    for (const auto &name : names) {
        record("worker " + name + " is back");
        workers.at(name)->restart();
        platform.store.write("servers", name, workers.at(name)->makeRow());
    }
}

} // namespace auburndoor
