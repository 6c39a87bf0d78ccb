#include "soak/KeyWatch.h"

#include "fakes/JobIds.h"
#include "net/EventLoop.h"
#include "soak/EntryProcess.h"
#include "soak/PlatformServer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace auburndoor {

namespace {

constexpr const char *unheldKey = "never-held";
constexpr std::size_t maxHeldKeys = 3;
// From the store's confirmation of a change until it has to be in force everywhere.
constexpr Milliseconds configMs { 3000 };
constexpr Milliseconds probeInterval { 100 };
constexpr Milliseconds probeTimeout { 3000 };
constexpr int statusRefused = 401;
constexpr int statusUnavailable = 503;

} // namespace

KeyWatch::KeyWatch(EventLoop &loop,
                   PlatformServer &platform,
                   const std::vector<std::unique_ptr<EntryProcess>> &entries,
                   unsigned seed)
    : loop_(loop), platform_(platform), entries_(entries), random_(seed)
{
    keys_[unheldKey] = {};
    addKey();
    addKey();
    writeDesiredState();
}

int KeyWatch::draw(int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random_);
}

void KeyWatch::start()
{
    for (const auto &entry : entries_) {
        Probe probe;
        probe.channels = std::make_unique<HttpChannels>(loop_, entry->clientAddress(), HttpChannelLimits { .maxConnections = 1 });
        probe.faultyAt = loop_.now();
        probes_.push_back(std::move(probe));
    }
    changeKeys();
    probeAll();
}

void KeyWatch::finish()
{
    isFinished_ = true;
    addKey();
    removeKey();
    writeDesiredState();
}

bool KeyWatch::isDone() const
{
    return isFinished_ && std::all_of(probes_.begin(), probes_.end(), [this](const Probe &probe) {
               return probe.checked.contains(lastAdded_) && probe.checked.contains(lastRemoved_);
           });
}

void KeyWatch::changeKeys()
{
    if (isFinished_) {
        return;
    }
    if (heldKeys_.size() < 2 || (heldKeys_.size() < maxHeldKeys && draw(0, 1) == 0)) {
        addKey();
    } else {
        removeKey();
    }
    writeDesiredState();
    loop_.after(Milliseconds(draw(500, 2500)), [this] { changeKeys(); });
}

void KeyWatch::addKey()
{
    lastAdded_ = "key-" + std::to_string(keys_.size());
    keys_[lastAdded_].addedAt = loop_.now();
    heldKeys_.push_back(lastAdded_);
}

void KeyWatch::removeKey()
{
    lastRemoved_ = heldKeys_.front();
    keys_.at(lastRemoved_).removedAt = loop_.now();
    heldKeys_.erase(heldKeys_.begin());
}

void KeyWatch::writeDesiredState()
{
    const nlohmann::json accounts { { { "name", "steady" }, { "apiKeys", { steadyKey } }, { "weight", 1 } },
                                    { { "name", "changing" }, { "apiKeys", heldKeys_ }, { "weight", 1 } } };
    platform_.store.write(
        "op",
        "config",
        R"({"version":)" + std::to_string(++version_) + R"(,"limits":{"maxBodyBytes":65536},"services":[{"name":"desk"}],)"
            + R"("routes":[{"name":"jobs","host":"cell.example","pathPrefix":"/jobs/","service":"desk",)"
            + R"("priority":1,"maxAttempts":3,"slackFactor":3,"targetLatencyMs":500}],"tenants":)" + accounts.dump() + "}");
}

bool KeyWatch::isFaulty(const EntryProcess &entry) const
{
    return !entry.isRunning() || entry.isPaused() || entry.isStopping() || entry.storeLink().mode() != FaultyLink::Mode::Open
           || platform_.store.isDown();
}

void KeyWatch::probeAll()
{
    for (std::size_t number = 0; number < probes_.size(); ++number) {
        if (isFaulty(*entries_[number])) {
            probes_[number].faultyAt = loop_.now();
        }
        if (!probes_[number].isWaiting) {
            probe(number);
        }
    }
    loop_.after(probeInterval, [this] { probeAll(); });
}

void KeyWatch::probe(std::size_t number)
{
    // The newest keys, which change, and the one that is never held; older ones stay removed and are called now and then.
    constexpr int recentKeys = 6;
    const auto count = static_cast<int>(keys_.size()) - 1;
    const auto drawn = draw(0, 9) == 0 ? draw(1, count) : draw(std::max(0, count - recentKeys), count);
    const auto key = drawn == 0 ? std::string(unheldKey) : "key-" + std::to_string(drawn);
    const auto path = "/jobs/" + (job.empty() ? jobIdOf(0) : job);
    WebRequest request { "GET", path, { { "Host", "cell.example" }, { "Deadline-Ms", "3000" }, { "Key", key } }, {}, false };
    probes_[number].isWaiting = true;
    const auto life = entries_[number]->startCount();
    probes_[number].channels->send(
        std::move(request), probeTimeout, [this, number, key, life, sentAt = loop_.now()](const SendResult &result) {
            probes_[number].isWaiting = false;
            onAnswered(number, key, sentAt, life, result);
        });
}

void KeyWatch::onAnswered(std::size_t number, const std::string &key, TimePoint sentAt, int life, const SendResult &result)
{
    if (result.outcome != SendOutcome::Answered) {
        return;
    }
    const int status = result.reply.status;
    if (status == 200) {
        addViolation(number, key, "the job of another account was shown");
    }
    if (key == unheldKey && status != statusRefused && status != statusUnavailable) {
        addViolation(number, key, "status " + std::to_string(status) + " for a key that was never held");
    }
    checkLife(number, key, life, status);
    checkChange(number, key, sentAt, status);
}

void KeyWatch::checkLife(std::size_t number, const std::string &key, int life, int status)
{
    auto &probe = probes_[number];
    if (life != entries_[number]->startCount() || status == statusUnavailable) {
        return;
    }
    if (probe.life != life) {
        probe.life = life;
        probe.served.clear();
        probe.refusedAsRemoved.clear();
    }
    if (status != statusRefused) {
        probe.served.insert(key);
        if (probe.refusedAsRemoved.contains(key)) {
            addViolation(number, key, "a removed key was served again");
        }
    } else if (probe.served.contains(key)) {
        probe.refusedAsRemoved.insert(key);
    }
}

void KeyWatch::checkChange(std::size_t number, const std::string &key, TimePoint sentAt, int status)
{
    auto &probe = probes_[number];
    const auto &changes = keys_.at(key);
    const auto changedAt = changes.removedAt ? changes.removedAt : changes.addedAt;
    if (isFaulty(*entries_[number])) {
        probe.faultyAt = loop_.now();
    }
    if (!changedAt || sentAt < std::max(*changedAt, probe.faultyAt) + configMs) {
        return;
    }
    probe.checked.insert(key);
    if (changes.removedAt && status != statusRefused) {
        addViolation(number, key, "status " + std::to_string(status) + " for a key that was removed");
    } else if (!changes.removedAt && status == statusRefused) {
        addViolation(number, key, "an added key was refused");
    }
}

void KeyWatch::addViolation(std::size_t number, const std::string &key, const std::string &text)
{
    const auto &changes = keys_.at(key);
    const auto ageOf = [this](const std::optional<TimePoint> &at) {
        return at ? std::to_string(std::chrono::duration_cast<Milliseconds>(loop_.now() - *at).count()) + " ms ago"
                  : std::string("never");
    };
    violations.push_back(entries_[number]->name() + ": " + text + " (" + key + ", added " + ageOf(changes.addedAt) + ", removed "
                         + ageOf(changes.removedAt) + ")");
}

} // namespace auburndoor
