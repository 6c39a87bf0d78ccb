#include "cell/VersionWatch.h"

#include "cell/Cell.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburndoor {

namespace {

constexpr std::chrono::milliseconds pause { 20 };
constexpr std::chrono::milliseconds callTimeout { 1000 };

} // namespace

VersionWatch::~VersionWatch()
{
    stop();
}

void VersionWatch::watch(const std::string &process, const std::string &address)
{
    threads_.emplace_back([this, process, address] { run(process, address); });
}

void VersionWatch::unwatch(const std::string &process)
{
    const std::lock_guard lock(mutex_);
    ended_.insert(process);
}

void VersionWatch::stop()
{
    isStopping_ = true;
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

std::vector<VersionSample> VersionWatch::samples() const
{
    const std::lock_guard lock(mutex_);
    return samples_;
}

void VersionWatch::run(const std::string &process, const std::string &address)
{
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + Cell::operatorToken } };
    while (!isStopping_) {
        const auto asked = std::chrono::steady_clock::now();
        const auto reply = Cell::call(address, "GET", "/v1/status", {}, headers, callTimeout);
        const auto status = nlohmann::json::parse(reply ? reply->body : "", nullptr, false);
        {
            const std::lock_guard lock(mutex_);
            if (ended_.contains(process)) {
                return;
            }
            if (status.is_object() && status.contains("configurationVersion")) {
                samples_.push_back({ process,
                                     asked,
                                     std::chrono::steady_clock::now(),
                                     status.at("configurationVersion"),
                                     status.value("ready", false) });
            }
        }
        std::this_thread::sleep_for(pause);
    }
}

CheckResult VersionWatch::check(const std::vector<VersionSample> &samples, const std::vector<VersionDeadline> &deadlines)
{
    CheckResult result;
    std::map<std::string, long long> highest;
    for (const auto &sample : samples) {
        ++result.checked[Promise::Configuration];
        auto &seen = highest[sample.process];
        if (sample.version < seen || (sample.isReady && sample.version == 0)) {
            result.violations.push_back(
                { Promise::Configuration,
                  sample.process + " showed version " + std::to_string(sample.version) + " after " + std::to_string(seen) });
        }
        seen = std::max(seen, sample.version);
    }
    for (const auto &due : deadlines) {
        ++result.checked[Promise::Configuration];
        const auto found = std::find_if(samples.begin(), samples.end(), [&](const VersionSample &sample) {
            return sample.process == due.process && sample.version >= due.version;
        });
        const auto hasMissed = found == samples.end() || found->asked > due.from + limit;
        if (hasMissed) {
            const auto text = found == samples.end() ? std::string("never")
                                                     : std::to_string((found->answered - due.from) / std::chrono::milliseconds(1))
                                                           + " ms after it was due from";
            result.violations.push_back(
                { Promise::Configuration, due.process + " had version " + std::to_string(due.version) + " " + text });
        }
    }
    return result;
}

CheckResult VersionWatch::checkFirst(const std::vector<VersionSample> &samples, const std::string &process, long long lowest)
{
    CheckResult result;
    for (const auto &sample : samples) {
        if (sample.process != process) {
            continue;
        }
        ++result.checked[Promise::Configuration];
        if (sample.version < lowest && (sample.isReady || sample.version > 0)) {
            result.violations.push_back({ Promise::Configuration,
                                          process + " showed version " + std::to_string(sample.version) + " while the cell had "
                                              + std::to_string(lowest) });
        }
    }
    return result;
}

std::chrono::steady_clock::time_point VersionWatch::firstShown(const std::vector<VersionSample> &samples, long long version)
{
    auto first = std::chrono::steady_clock::time_point::max();
    for (const auto &sample : samples) {
        if (sample.version >= version) {
            first = std::min(first, sample.answered);
        }
    }
    return first;
}

} // namespace auburndoor
