#include "measure/ApplyTiming.h"

#include "measure/MeasuredCell.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <thread>

namespace auburndoor {

namespace {

using Time = std::chrono::steady_clock;

constexpr std::chrono::milliseconds callTimeout { 2000 };
constexpr std::chrono::seconds inForceLimit { 10 };
constexpr std::chrono::milliseconds pollPeriod { 5 };
constexpr std::chrono::seconds idleWindow { 2 };

long long versionAt(const Cell &cell, const std::string &instance)
{
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    const auto reply = Cell::call(
        cell.operatorsAddress(instance), "POST", "/v1/configuration/plan", MeasuredCell::declaration(1), headers, callTimeout);
    const auto json = nlohmann::json::parse(reply ? reply->body : "{}", nullptr, false);
    return json.is_object() ? json.value("version", 0LL) : 0;
}

/** Waits until the instance shows the version. @return the time of the answer, or empty if the limit has passed */
std::optional<Time::time_point> waitForVersion(const Cell &cell, const std::string &instance, long long version)
{
    const auto limit = Time::now() + inForceLimit;
    while (Time::now() < limit) {
        if (versionAt(cell, instance) >= version) {
            return Time::now();
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return std::nullopt;
}

double millisecondsBetween(Time::time_point begin, Time::time_point end)
{
    return std::chrono::duration<double, std::milli>(end - begin).count();
}

/** Times of one apply in ms; empty if it failed. */
struct OneApply
{
    double inForceMs = 0;
    double replyMs = 0;
};

std::optional<OneApply> applyOnce(MeasuredCell &cell, const std::string &through, long long version)
{
    const auto ids = cell.cell().instances();
    std::vector<std::optional<Time::time_point>> seen(ids.size());
    std::vector<std::thread> watchers;
    const auto begin = Time::now();
    for (std::size_t index = 0; index < ids.size(); ++index) {
        watchers.emplace_back([&, index] { seen[index] = waitForVersion(cell.cell(), ids[index], version); });
    }
    const auto isAccepted = cell.apply(through, static_cast<int>(1000 + version), version - 1);
    const auto replied = Time::now();
    for (auto &watcher : watchers) {
        watcher.join();
    }
    if (!isAccepted || std::any_of(seen.begin(), seen.end(), [](const auto &time) { return !time; })) {
        return std::nullopt;
    }
    return OneApply { millisecondsBetween(begin, **std::max_element(seen.begin(), seen.end())),
                      millisecondsBetween(begin, replied) };
}

/** Use of the mean instance between two samples of all. */
struct Use
{
    double cpuMs = 0;
    double bytes = 0;
    double messages = 0;
    double seconds = 0;
};

Use useDuring(Cell &cell, const std::function<void()> &action)
{
    std::vector<InstanceSample> before;
    for (const auto &id : cell.instances()) {
        before.push_back(InstanceProbe::sample(cell, id));
    }
    action();
    Use use;
    const auto count = static_cast<double>(before.size());
    std::size_t index = 0;
    for (const auto &id : cell.instances()) {
        const auto after = InstanceProbe::sample(cell, id);
        const auto seconds = std::chrono::duration<double>(after.time - before[index].time).count();
        const auto rates = InstanceProbe::rates(before[index++], after);
        use.cpuMs += rates.cpuPercent / 100 * seconds * 1000 / count;
        use.bytes += rates.controlBytes * seconds / count;
        use.messages += rates.controlMessages * seconds / count;
        use.seconds += seconds / count;
    }
    return use;
}

/** Applies without pollers, whose own requests cost processor time, and takes the use of an idle cell away. */
void measureUse(MeasuredCell &cell, int applies, long long version, ApplyTimes &times)
{
    const auto idle = useDuring(cell.cell(), [] { std::this_thread::sleep_for(idleWindow); });
    const auto busy = useDuring(cell.cell(), [&] {
        for (int index = 0; index < applies; ++index) {
            cell.apply("entry-1", 5000 + index, version + index);
        }
    });
    const auto share = busy.seconds / idle.seconds;
    times.cpuMs = (busy.cpuMs - idle.cpuMs * share) / applies;
    times.bytes = (busy.bytes - idle.bytes * share) / applies;
    times.messages = (busy.messages - idle.messages * share) / applies;
}

} // namespace

ApplyTimes ApplyTimes::measure(MeasuredCell &cell, int applies)
{
    const auto ids = cell.cell().instances();
    ApplyTimes times;
    times.applies = applies;
    std::vector<double> inForce;
    std::vector<double> replies;
    // Version 1 was applied when the cell started.
    long long version = 1;
    for (int index = 0; index < applies; ++index) {
        const auto one = applyOnce(cell, ids[static_cast<std::size_t>(index) % ids.size()], version + 1);
        if (one) {
            inForce.push_back(one->inForceMs);
            replies.push_back(one->replyMs);
        } else {
            ++times.failures;
        }
        version = std::max(version, versionAt(cell.cell(), ids.front()));
    }
    times.inForceMs = Spread::of(inForce);
    times.replyMs = Spread::of(replies);
    measureUse(cell, applies, version, times);
    return times;
}

} // namespace auburndoor
