#include "measure/RequestLoad.h"

#include "cell/Cell.h"
#include "core/Failure.h"
#include "http/HttpClient.h"
#include "measure/MeasuredCell.h"

#include <random>

namespace auburndoor {

namespace {

constexpr std::chrono::milliseconds requestTimeout { 5000 };
constexpr std::chrono::milliseconds replyMargin { 3000 };

} // namespace

RequestLoad::RequestLoad(const Cell &cell, const RequestPlan &plan) : plan_(plan)
{
    const auto instances = cell.instances();
    const auto callers = instances.size() * static_cast<std::size_t>(plan.callersPerInstance);
    unsigned seed = 1;
    for (const auto &id : instances) {
        for (int index = 0; index < plan.callersPerInstance; ++index) {
            const auto rate = plan.perSecond / static_cast<double>(callers);
            threads_.emplace_back(
                [this, address = cell.callersAddress(id), rate, callerSeed = seed] { runCaller(address, rate, callerSeed); });
            ++seed;
        }
    }
}

RequestLoad::~RequestLoad()
{
    stop();
}

RequestResult RequestLoad::stop()
{
    isStopping_ = true;
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
    return result_;
}

void RequestLoad::runCaller(const std::string &address, double perSecond, unsigned seed)
{
    using SteadyClock = std::chrono::steady_clock;
    HttpClient client(address, 1);
    std::mt19937 random(seed);
    std::exponential_distribution<double> interarrivalTime(perSecond);
    const std::string body = "{\"runMs\": " + std::to_string(plan_.runMs) + "}";
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + MeasuredCell::teamToken },
                                                       { "Request-Timeout-Ms", std::to_string(requestTimeout.count()) } };
    RequestResult callerResult;
    auto next = SteadyClock::now();
    while (true) {
        next += std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(interarrivalTime(random)));
        std::this_thread::sleep_until(next);
        if (isStopping_) {
            break;
        }
        Delivery delivery = Delivery::NotSent;
        Failure failure;
        const auto begin = SteadyClock::now();
        const auto reply = client.exchange("POST",
                                           "/v1/services/" + plan_.service + "/requests",
                                           body,
                                           headers,
                                           requestTimeout + replyMargin,
                                           false,
                                           delivery,
                                           failure);
        const auto duration = std::chrono::duration<double, std::milli>(SteadyClock::now() - begin).count();
        const auto outcome = reply && reply->headers.contains("outcome") ? reply->headers.at("outcome") : std::string("broken");
        ++callerResult.outcomes[outcome];
        if (outcome == "answered") {
            callerResult.waitingMs.push_back(duration - plan_.runMs);
        }
    }
    const std::lock_guard lock(mutex_);
    result_.waitingMs.insert(result_.waitingMs.end(), callerResult.waitingMs.begin(), callerResult.waitingMs.end());
    for (const auto &[outcome, count] : callerResult.outcomes) {
        result_.outcomes[outcome] += count;
    }
}

} // namespace auburndoor
