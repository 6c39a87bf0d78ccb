#include "measure/ApplyTiming.h"

#include "measure/MeasuredCell.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <thread>

namespace auburndoor {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds callTimeout { 2000 };
constexpr std::chrono::seconds inForceTimeout { 10 };
constexpr std::chrono::milliseconds pollPeriod { 5 };
constexpr std::chrono::seconds idleWindowDuration { 2 };

long long readVersion(const Cell &cell, const std::string &instance)
{
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    const auto reply = Cell::call(
        cell.operatorsAddress(instance), "POST", "/v1/configuration/plan", MeasuredCell::makeDeclaration(1), headers, callTimeout);
    const auto json = nlohmann::json::parse(reply ? reply->body : "{}", nullptr, false);
    return json.is_object() ? json.value("version", 0LL) : 0;
}

/** Polls until the instance reports the version or a newer one. @return the time of that reply, or empty after 10 s */
std::optional<SteadyClock::time_point> waitForVersion(const Cell &cell, const std::string &instance, long long version)
{
    const auto deadline = SteadyClock::now() + inForceTimeout;
    while (SteadyClock::now() < deadline) {
        if (readVersion(cell, instance) >= version) {
            return SteadyClock::now();
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return std::nullopt;
}

double millisecondsBetween(SteadyClock::time_point begin, SteadyClock::time_point end)
{
    return std::chrono::duration<double, std::milli>(end - begin).count();
}

/** Times of one successful apply, in ms. */
struct SingleApplyTimes
{
    double inForceMs = 0;
    double replyMs = 0;
};

std::optional<SingleApplyTimes> applyOnce(MeasuredCell &cell, const std::string &targetInstance, long long version)
{
    const auto ids = cell.cell().instances();
    std::vector<std::optional<SteadyClock::time_point>> reportTimes(ids.size());
    std::vector<std::thread> pollers;
    const auto begin = SteadyClock::now();
    for (std::size_t index = 0; index < ids.size(); ++index) {
        pollers.emplace_back([&, index] { reportTimes[index] = waitForVersion(cell.cell(), ids[index], version); });
    }
    const auto isAccepted = cell.apply(targetInstance, static_cast<int>(1000 + version), version - 1);
    const auto replyTime = SteadyClock::now();
    for (auto &poller : pollers) {
        poller.join();
    }
    if (!isAccepted || std::any_of(reportTimes.begin(), reportTimes.end(), [](const auto &time) { return !time; })) {
        return std::nullopt;
    }
    return SingleApplyTimes { millisecondsBetween(begin, **std::max_element(reportTimes.begin(), reportTimes.end())),
                              millisecondsBetween(begin, replyTime) };
}

/** Mean use per instance between two samples of all instances. */
struct InstanceUse
{
    double cpuMs = 0;
    double bytes = 0;
    double messages = 0;
    double seconds = 0;
};

InstanceUse measureUseDuring(Cell &cell, const std::function<void()> &action)
{
    std::vector<InstanceSample> before;
    for (const auto &id : cell.instances()) {
        before.push_back(InstanceProbe::sample(cell, id));
    }
    action();
    InstanceUse use;
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

/** Measures the use per apply, less that of an idle cell. No thread polls the instances, because polling costs processor time. */
void measureApplyUse(MeasuredCell &cell, int applies, long long version, ApplyTimes &times)
{
    const auto idleUse = measureUseDuring(cell.cell(), [] { std::this_thread::sleep_for(idleWindowDuration); });
    const auto applyUse = measureUseDuring(cell.cell(), [&] {
        for (int index = 0; index < applies; ++index) {
            cell.apply("entry-1", 5000 + index, version + index);
        }
    });
    const auto durationRatio = applyUse.seconds / idleUse.seconds;
    times.cpuMs = (applyUse.cpuMs - idleUse.cpuMs * durationRatio) / applies;
    times.bytes = (applyUse.bytes - idleUse.bytes * durationRatio) / applies;
    times.messages = (applyUse.messages - idleUse.messages * durationRatio) / applies;
}

} // namespace

ApplyTimes ApplyTimes::measure(MeasuredCell &cell, int applies)
{
    const auto ids = cell.cell().instances();
    ApplyTimes times;
    times.applies = applies;
    std::vector<double> inForce;
    std::vector<double> replies;
    // The constructor of the cell applied version 1.
    long long version = 1;
    for (int index = 0; index < applies; ++index) {
        const auto singleApply = applyOnce(cell, ids[static_cast<std::size_t>(index) % ids.size()], version + 1);
        if (singleApply) {
            inForce.push_back(singleApply->inForceMs);
            replies.push_back(singleApply->replyMs);
        } else {
            ++times.failures;
        }
        version = std::max(version, readVersion(cell.cell(), ids.front()));
    }
    times.inForceMs = Spread::of(inForce);
    times.replyMs = Spread::of(replies);
    measureApplyUse(cell, applies, version, times);
    return times;
}

} // namespace auburndoor
