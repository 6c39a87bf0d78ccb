#include "Cases.h"

namespace auburndoor {

namespace {

constexpr std::size_t entryCount = 3;
constexpr int workerCount = 8;
constexpr Milliseconds workTime { 200 };
// From the takeover until the store is down for all, and for how long it is.
constexpr Milliseconds outageAfter { 100 };
constexpr Milliseconds outage { 1700 };
// At the node of the owner; a fourth of that at the other nodes together.
constexpr Milliseconds sendInterval { 60 };
constexpr int rounds = 6;
constexpr int retries = 4;
// One client in four does not come back.
constexpr std::size_t clientsPerLeaver = 4;

class Traffic
{
public:
    explicit Traffic(ReviewCell &cell) : cell_(cell)
    {
    }

    /** Hands jobs in at one node and at the others, until stopped. */
    void send(std::size_t entry)
    {
        if (!isRunning) {
            return;
        }
        submit(entry);
        if (++rounds_ % 4 == 0) {
            submit((entry + 1 + rounds_ / 4 % (entryCount - 1)) % entryCount);
        }
        cell_.loop.after(sendInterval, [this, entry] { send(entry); });
    }

    bool isRunning = true;

private:
    void submit(std::size_t entry)
    {
        constexpr std::size_t idLength = 16;
        auto id = std::to_string(++sent_);
        id.insert(0, idLength - id.size(), '0');
        const bool isLeaver = sent_ % clientsPerLeaver == 0;
        cell_.submitAt(entry,
                       "/quick/",
                       id,
                       R"({"spec":"q","taskGroups":[{"count":1,"cpu":500,"memMb":64,"estimateMs":200}]})",
                       isLeaver ? 0 : retries);
    }

    ReviewCell &cell_;
    std::size_t rounds_ = 0;
    std::size_t sent_ = 0;
};

void setStoreFault(ReviewCell &cell, const StoreFault &fault)
{
    for (std::size_t number = 0; number < entryCount; ++number) {
        cell.platform.setStoreFault("edge-" + std::to_string(number), fault);
    }
}

/** @return false if no other process takes over */
bool disturb(ReviewCell &cell, std::size_t owner)
{
    const auto name = "edge-" + std::to_string(owner);
    cell.record("the store turns " + name + ", the owner, away");
    cell.platform.setStoreFault(name, { StoreFault::Kind::Refuse });
    if (!cell.runUntil([&] { return cell.owner() != owner; }, Milliseconds(6000))) {
        return false;
    }
    cell.record("edge-" + std::to_string(cell.owner().value_or(entryCount)) + " has taken over");
    cell.runFor(outageAfter);
    cell.record("the store is down");
    setStoreFault(cell, { StoreFault::Kind::Refuse });
    cell.runFor(outage);
    cell.record("the store is back");
    setStoreFault(cell, {});
    return true;
}

} // namespace

int playRefusedJobs(ReviewCell &cell, bool hasTrouble)
{
    cell.plan = [](const std::string &) { return ReviewWork { workTime, "done" }; };
    cell.writeDesiredState(
        R"([{"name":"quick","host":"shop.example","pathPrefix":"/quick/","kind":"non_idempotent","timeoutMs":3000,)"
        R"("targetLatencyMs":250,"priority":0,"service":"desk","maxAttempts":3,"slackFactor":1.5}])",
        R"([{"name":"desk","enforceCapacity":false}])");
    for (int number = 1; number <= workerCount; ++number) {
        cell.addWorker({ "w" + std::to_string(number), "desk", "a", "r" + std::to_string(number) });
    }
    cell.addEntries(entryCount);
    cell.startEntries();
    if (!cell.waitUntilReady(Milliseconds(15000))) {
        return 2;
    }
    Traffic traffic(cell);
    for (int round = 0; round < rounds; ++round) {
        const auto owner = cell.owner();
        if (!owner) {
            return 2;
        }
        traffic.isRunning = true;
        traffic.send(*owner);
        cell.runFor(sendInterval);
        if (!hasTrouble) {
            cell.runFor(Milliseconds(3000));
        } else if (!disturb(cell, *owner)) {
            return 2;
        }
        cell.runFor(Milliseconds(500));
        traffic.isRunning = false;
        cell.runFor(Milliseconds(6500));
    }
    int refused = 0;
    int refusedAndRun = 0;
    for (const auto &[id, answers] : cell.answers) {
        const bool isRefused = std::all_of(
            answers.begin(), answers.end(), [](const std::string &answer) { return answer == "503" || answer == "429"; });
        refused += isRefused ? 1 : 0;
        const auto task = cell.tasks.find(id + ".0.0.0");
        if (isRefused && task != cell.tasks.end() && task->second.starts > 0) {
            ++refusedAndRun;
            cell.record("job " + id + ": each of " + std::to_string(answers.size()) + " attempts was answered with "
                        + answers.front() + ", and it has run");
        }
    }
    cell.record(std::to_string(cell.answers.size()) + " jobs handed in, " + std::to_string(refused)
                + " refused in all attempts, of which " + std::to_string(refusedAndRun) + " have run");
    return refusedAndRun > 0 ? 1 : 0;
}

} // namespace auburndoor
