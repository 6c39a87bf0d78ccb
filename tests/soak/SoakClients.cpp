#include "soak/SoakClients.h"

#include "net/EventLoop.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

constexpr int maximumAttempts = 5;
constexpr Milliseconds requestTimeout { 3000 };
constexpr Milliseconds retryDelay { 400 };

} // namespace

SoakClients::SoakClients(EventLoop &loop, const std::vector<Address> &entries, std::mt19937 &random) : loop_(loop), random_(random)
{
    for (const auto &address : entries) {
        entries_.push_back(std::make_unique<HttpChannels>(loop, address, HttpChannelLimits { .maxConnections = 8 }));
    }
}

WebRequest SoakClients::makeRequest(const std::string &method, const std::string &path, const std::string &body) const
{
    WebRequest request {
        method, path, { { "Host", "cell.example" }, { "Deadline-Ms", std::to_string(requestTimeout.count()) } }, body
    };
    if (!key.empty()) {
        request.headers.emplace_back("Key", key);
    }
    return request;
}

HttpChannels &SoakClients::pickEntry()
{
    return *entries_.at(std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_));
}

void SoakClients::submit(const std::string &id, const std::string &body, const std::string &prefix)
{
    jobs_[id].body = body;
    jobs_[id].prefix = prefix;
    send(id);
}

void SoakClients::send(const std::string &id)
{
    auto &job = jobs_.at(id);
    ++job.attempts;
    pickEntry().send(makeRequest("POST", job.prefix + id, job.body), requestTimeout, [this, id](const SendResult &result) {
        onSubmitAnswered(id, result);
    });
}

void SoakClients::onSubmitAnswered(const std::string &id, const SendResult &result)
{
    auto &job = jobs_.at(id);
    if (result.hasStatus(200)) {
        job.isAccepted = true;
        if (onAccepted) {
            onAccepted(id);
        }
        return;
    }
    const bool isRefused = result.hasStatus(503) || result.hasStatus(429);
    job.mayHaveBeenAccepted = job.mayHaveBeenAccepted || (!isRefused && result.outcome != SendOutcome::NotSent);
    if (result.hasStatus(400) || result.hasStatus(401) || result.hasStatus(404)) {
        violations.push_back(id + " was submitted and answered with status " + std::to_string(result.reply.status));
    } else if (job.attempts < maximumAttempts) {
        loop_.after(retryDelay, [this, id] { send(id); });
    }
}

void SoakClients::cancel(const std::string &id)
{
    jobs_.at(id).mayBeCancelled = true;
    sendCancel(id, 1);
}

void SoakClients::sendCancel(const std::string &id, int attempts)
{
    pickEntry().send(
        makeRequest("DELETE", jobs_.at(id).prefix + id, {}), requestTimeout, [this, id, attempts](const SendResult &result) {
            auto &job = jobs_.at(id);
            if (result.hasStatus(200)) {
                job.cancelledAt = job.cancelledAt.value_or(loop_.now());
                if (onCancelled) {
                    onCancelled(id);
                }
            } else if (result.hasStatus(410) && job.isAccepted) {
                violations.push_back(id + " was accepted, but its cancellation was answered with status 410 (no such job)");
            } else if (attempts < maximumAttempts) {
                loop_.after(retryDelay, [this, id, attempts] { sendCancel(id, attempts + 1); });
            }
        });
}

void SoakClients::query(const std::string &id)
{
    pickEntry().send(makeRequest("GET", jobs_.at(id).prefix + id, {}), requestTimeout, [this, id](const SendResult &result) {
        onQueryAnswered(id, result);
    });
}

void SoakClients::onQueryAnswered(const std::string &id, const SendResult &result)
{
    auto &job = jobs_.at(id);
    if (result.hasStatus(410)) {
        violations.push_back(id + " was accepted, but a query was answered with status 410 (no such job)");
    }
    if (result.hasStatus(401)) {
        violations.push_back(id + ": a query with a valid key was answered with status 401");
    }
    if (!result.hasStatus(200)) {
        return;
    }
    const auto json = nlohmann::json::parse(result.reply.body, nullptr, false);
    const auto state = json.is_object() ? json.value("state", std::string()) : std::string();
    const bool hadEnded = job.lastState == "completed" || job.lastState == "failed";
    if (hadEnded && state != job.lastState) {
        violations.push_back(id + " changed from the end state " + job.lastState + " to " + state);
    }
    job.lastState = state;
}

} // namespace auburndoor
