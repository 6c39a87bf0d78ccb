#include "cell/Callers.h"

#include "cell/Cell.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

constexpr int triesOfOneRequest = 4;

}

Callers::Callers(std::function<std::vector<std::string>()> addresses, CallHistory &history)
    : addresses_(std::move(addresses)), history_(history)
{
}

Callers::~Callers()
{
    stop();
}

void Callers::start(int count, const CallerPlan &plan)
{
    for (int index = 0; index < count; ++index) {
        const auto caller = callerCount_++;
        threads_.emplace_back([this, caller, plan] { run(caller, plan); });
    }
}

void Callers::stop()
{
    isStopping_ = true;
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void Callers::run(int caller, const CallerPlan &plan)
{
    std::size_t turn = static_cast<std::size_t>(caller);
    for (int number = 0; !isStopping_; ++number) {
        const auto mark = "call-" + std::to_string(caller) + "-" + std::to_string(number);
        for (int attempt = 0; attempt < triesOfOneRequest; ++attempt) {
            const auto addresses = addresses_();
            if (addresses.empty()) {
                break;
            }
            auto record = send(addresses[turn++ % addresses.size()], mark, plan);
            const auto isDefinite = record.outcome == "answered" || record.outcome == "task-failed";
            history_.add(std::move(record));
            if (isDefinite || !plan.isNonRepeatable) {
                break;
            }
        }
        std::this_thread::sleep_for(plan.pause);
    }
}

CallRecord Callers::send(const std::string &address, const std::string &mark, const CallerPlan &plan)
{
    CallRecord record;
    record.mark = mark;
    std::map<std::string, std::string> headers { { "Authorization", "Bearer " + plan.token },
                                                 { "Request-Kind", plan.kind },
                                                 { "Request-Timeout-Ms", std::to_string(plan.timeoutMs) } };
    if (plan.isNonRepeatable) {
        record.idempotencyKey = mark;
        headers["Idempotency-Key"] = mark;
    }
    const auto body = nlohmann::json { { "runMs", plan.runMs }, { "echo", mark } }.dump();
    const auto begin = std::chrono::steady_clock::now();
    const auto reply = Cell::call(address,
                                  "POST",
                                  "/v1/services/" + plan.service + "/requests",
                                  body,
                                  headers,
                                  std::chrono::milliseconds(plan.timeoutMs + 3000));
    record.duration = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    record.outcome = "broken";
    if (reply) {
        const auto outcome = reply->headers.find("outcome");
        record.outcome = outcome == reply->headers.end() ? "malformed" : outcome->second;
        record.body = reply->body;
        record.requestId = reply->headers.contains("request-id") ? reply->headers.at("request-id") : "";
        const auto json = nlohmann::json::parse(reply->body, nullptr, false);
        if (json.is_object() && json.contains("error")) {
            record.reason = json.at("error").value("reason", "");
        }
    }
    return record;
}

} // namespace auburndoor
