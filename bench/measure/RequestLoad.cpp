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
            threads_.emplace_back([this, address = cell.callersAddress(id), rate, number = seed] { run(address, rate, number); });
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

void RequestLoad::run(const std::string &address, double perSecond, unsigned seed)
{
    using Time = std::chrono::steady_clock;
    HttpClient client(address, 1);
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(perSecond);
    const std::string body = "{\"runMs\": " + std::to_string(plan_.runMs) + "}";
    const std::map<std::string, std::string> headers { { "Authorization", std::string("Bearer ") + MeasuredCell::teamToken },
                                                       { "Request-Timeout-Ms", std::to_string(requestTimeout.count()) } };
    RequestResult seen;
    auto next = Time::now();
    while (true) {
        next += std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(gap(random)));
        std::this_thread::sleep_until(next);
        if (isStopping_) {
            break;
        }
        Delivery delivery = Delivery::NotSent;
        Failure failure;
        const auto begin = Time::now();
        const auto reply = client.exchange("POST",
                                           "/v1/services/" + plan_.service + "/requests",
                                           body,
                                           headers,
                                           requestTimeout + replyMargin,
                                           false,
                                           delivery,
                                           failure);
        const auto duration = std::chrono::duration<double, std::milli>(Time::now() - begin).count();
        const auto outcome = reply && reply->headers.contains("outcome") ? reply->headers.at("outcome") : std::string("broken");
        ++seen.outcomes[outcome];
        if (outcome == "answered") {
            seen.waitingMs.push_back(duration - plan_.runMs);
        }
    }
    const std::lock_guard lock(mutex_);
    result_.waitingMs.insert(result_.waitingMs.end(), seen.waitingMs.begin(), seen.waitingMs.end());
    for (const auto &[outcome, count] : seen.outcomes) {
        result_.outcomes[outcome] += count;
    }
}

} // namespace auburndoor
