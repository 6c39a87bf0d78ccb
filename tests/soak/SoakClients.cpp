#include "soak/SoakClients.h"

#include "net/EventLoop.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

constexpr int mostTries = 5;
constexpr Milliseconds patience { 3000 };
constexpr Milliseconds retryPause { 400 };

WebRequest requestOf(const std::string &method, const std::string &id, const std::string &body)
{
    return { method, "/jobs/" + id, { { "Host", "cell.example" }, { "Deadline-Ms", std::to_string(patience.count()) } }, body };
}

} // namespace

SoakClients::SoakClients(EventLoop &loop, const std::vector<Address> &entries, std::mt19937 &random) : loop_(loop), random_(random)
{
    for (const auto &address : entries) {
        entries_.push_back(std::make_unique<HttpChannels>(loop, address, HttpChannelLimits { .maxConnections = 8 }));
    }
}

HttpChannels &SoakClients::anyEntry()
{
    return *entries_.at(std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_));
}

void SoakClients::submit(const std::string &id, const std::string &body)
{
    jobs_[id].body = body;
    send(id);
}

void SoakClients::send(const std::string &id)
{
    auto &job = jobs_.at(id);
    ++job.tries;
    anyEntry().send(requestOf("POST", id, job.body), patience, [this, id](const SendResult &sent) { onSubmitted(id, sent); });
}

void SoakClients::onSubmitted(const std::string &id, const SendResult &sent)
{
    auto &job = jobs_.at(id);
    if (sent.hasStatus(200)) {
        job.isAccepted = true;
        return;
    }
    const bool isRefused = sent.hasStatus(503) || sent.hasStatus(429);
    job.isOpen = job.isOpen || (!isRefused && sent.outcome != SendOutcome::NotSent);
    if (sent.hasStatus(400) || sent.hasStatus(404)) {
        violations.push_back(id + " was answered with " + std::to_string(sent.reply.status));
    } else if (job.tries < mostTries) {
        loop_.after(retryPause, [this, id] { send(id); });
    }
}

void SoakClients::query(const std::string &id)
{
    anyEntry().send(requestOf("GET", id, {}), patience, [this, id](const SendResult &sent) { onState(id, sent); });
}

void SoakClients::onState(const std::string &id, const SendResult &sent)
{
    auto &job = jobs_.at(id);
    if (sent.hasStatus(410)) {
        violations.push_back(id + " was accepted and is said not to exist");
    }
    if (!sent.hasStatus(200)) {
        return;
    }
    const auto json = nlohmann::json::parse(sent.reply.body, nullptr, false);
    const auto state = json.is_object() ? json.value("state", std::string()) : std::string();
    const bool wasEnded = job.shown == "completed" || job.shown == "failed";
    if (wasEnded && state != job.shown) {
        violations.push_back(id + " was shown as " + job.shown + " and then as " + state);
    }
    job.shown = state;
}

} // namespace auburndoor
