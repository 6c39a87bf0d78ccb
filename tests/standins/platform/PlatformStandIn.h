#pragma once

#include "core/Failure.h"
#include "http/HttpServer.h"
#include "storage/WriteBudget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

namespace auburndoor {

/**
    Simulates the platform's table, object store and worker list in memory, as in docs/protocols/platform.md, and injects faults.

    It is a header so that the program standin-platform and in-process tests can both use it. All routes are thread-safe.
*/
class PlatformStandIn
{
public:
    struct Options
    {
        double writesPerSecond = 300;
        double readsPerSecond = 2000;
        Milliseconds listLag { 1000 };
        /** How long the request of a lost answer is kept open; longer than the client's timeout. */
        Milliseconds lostAnswerDelay { 3000 };
    };

    PlatformStandIn(const Options &options, Clock &clock)
        : options_(options)
        , clock_(clock)
        , writes_(options.writesPerSecond, clock)
        , reads_(options.readsPerSecond, clock)
        , listLag_(options.listLag)
    {
    }

    void addRoutes(HttpServer &server)
    {
        addLimitedRoute(server, "POST", "/v1/table/commit", writes_, &PlatformStandIn::commit);
        addLimitedRoute(server, "POST", "/v1/table/read", reads_, &PlatformStandIn::read);
        addLimitedRoute(server, "POST", "/v1/table/read-prefix", reads_, &PlatformStandIn::readPrefix);
        addLimitedRoute(server, "PUT", "/v1/objects/(.+)", writes_, &PlatformStandIn::putObject);
        addLimitedRoute(server, "GET", "/v1/objects/(.+)", reads_, &PlatformStandIn::getObject);
        addLimitedRoute(server, "GET", "/v1/workers", reads_, &PlatformStandIn::listWorkers);
        addControlRoute(server, "PUT", "/v1/workers/(.+)", &PlatformStandIn::putWorker);
        addControlRoute(server, "PUT", "/v1/faults", &PlatformStandIn::putFaults);
        addControlRoute(server, "GET", "/v1/counters", &PlatformStandIn::getCounters);
    }

private:
    using Json = nlohmann::json;
    using Action = HttpReply (PlatformStandIn::*)(const HttpRequest &request);

    struct CommitOutcome
    {
        TimePoint time;
        std::string body;
    };

    struct WorkerChange
    {
        TimePoint time;
        std::string id;
        Json worker;
    };

    static HttpReply reply(int status, const Json &body)
    {
        return { status, body.dump(), "application/json", {} };
    }

    /** Runs an action and answers malformed input with status 400. The caller holds the lock. */
    HttpReply runAction(Action action, const HttpRequest &request)
    {
        try {
            return (this->*action)(request);
        } catch (const Json::exception &error) {
            return reply(400, { { "error", error.what() } });
        } catch (const std::logic_error &error) {
            return reply(400, { { "error", error.what() } });
        }
    }

    /** Adds a route for tests, without faults and limit. */
    void addControlRoute(HttpServer &server, const std::string &method, const std::string &pattern, Action action)
    {
        server.route(method, pattern, [this, action](const HttpRequest &request) {
            const std::lock_guard lock(mutex_);
            return runAction(action, request);
        });
    }

    /** Adds a route that is subject to injected faults and to a rate limit. */
    void addLimitedRoute(HttpServer &server,
                         const std::string &method,
                         const std::string &pattern,
                         WriteBudget &limit,
                         Action action)
    {
        server.route(method, pattern, [this, &limit, action](const HttpRequest &request) {
            std::unique_lock lock(mutex_);
            waitUnlocked(lock, delay_);
            if (isDown_) {
                return reply(503, { { "error", "down" } });
            }
            Failure failure;
            if (!limit.acquire(WritePurpose::Ownership, clock_.now(), failure)) {
                ++counters_["throttled"];
                return reply(429, { { "error", "too many requests" } });
            }
            auto result = runAction(action, request);
            if (action == &PlatformStandIn::commit && result.status == 200 && answersToLose_ > 0) {
                --answersToLose_;
                ++counters_["lostAnswers"];
                waitUnlocked(lock, options_.lostAnswerDelay);
                return reply(500, { { "error", "answer lost" } });
            }
            return result;
        });
    }

    /** Waits with the lock released. */
    void waitUnlocked(std::unique_lock<std::mutex> &lock, Milliseconds duration)
    {
        std::condition_variable condition;
        clock_.waitUntil(lock, condition, clock_.now() + duration, [] { return false; });
    }

    Json findRow(const std::string &key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? Json { { "key", key }, { "value", "" }, { "version", 0 } } : found->second;
    }

    HttpReply commit(const HttpRequest &request)
    {
        const auto body = Json::parse(request.body);
        const std::string id = body.at("id");
        while (!outcomeOrder_.empty() && outcomes_.at(outcomeOrder_.front()).time + std::chrono::minutes(10) < clock_.now()) {
            outcomes_.erase(outcomeOrder_.front());
            outcomeOrder_.pop_front();
        }
        const auto known = outcomes_.find(id);
        if (known != outcomes_.end()) {
            ++counters_["repeatedCommits"];
            return { 200, known->second.body, "application/json", {} };
        }
        const auto outcome = apply(body);
        outcomes_[id] = { clock_.now(), outcome.dump() };
        outcomeOrder_.push_back(id);
        return reply(200, outcome);
    }

    Json apply(const Json &body)
    {
        auto conflicts = Json::array();
        for (const auto &check : body.at("checks")) {
            auto row = findRow(check.at("key"));
            if (row.at("version") != check.at("version")) {
                conflicts.push_back(std::move(row));
            }
        }
        if (!conflicts.empty()) {
            ++counters_["conflicts"];
            return { { "outcome", "conflict" }, { "conflicts", conflicts } };
        }
        // Validated before the first change, so that a malformed write leaves the table as it was.
        for (const auto &write : body.at("writes")) {
            if (!write.at("key").is_string() || !(write.at("value").is_null() || write.at("value").is_string())) {
                throw std::invalid_argument("a key or value is not a string");
            }
        }
        auto versions = Json::array();
        for (const auto &write : body.at("writes")) {
            const std::string key = write.at("key");
            rows_.erase(key);
            if (!write.at("value").is_null()) {
                rows_[key] = { { "key", key }, { "value", write.at("value") }, { "version", ++lastVersion_ } };
            }
            versions.push_back(rows_.contains(key) ? lastVersion_ : 0);
        }
        ++counters_["commits"];
        counters_["rows"] += static_cast<long long>(versions.size());
        return { { "outcome", "committed" }, { "versions", versions } };
    }

    HttpReply read(const HttpRequest &request)
    {
        ++counters_["reads"];
        return reply(200, { { "row", findRow(Json::parse(request.body).at("key")) } });
    }

    HttpReply readPrefix(const HttpRequest &request)
    {
        ++counters_["reads"];
        const std::string prefix = Json::parse(request.body).at("prefix");
        auto rows = Json::array();
        for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix); ++row) {
            rows.push_back(row->second);
        }
        return reply(200, { { "rows", rows } });
    }

    HttpReply putObject(const HttpRequest &request)
    {
        objects_[request.pathParts.at(0)] = request.body;
        return reply(200, Json::object());
    }

    HttpReply getObject(const HttpRequest &request)
    {
        const auto found = objects_.find(request.pathParts.at(0));
        return found == objects_.end() ? reply(404, { { "error", "no such object" } })
                                       : HttpReply { 200, found->second, "application/octet-stream", {} };
    }

    HttpReply putWorker(const HttpRequest &request)
    {
        const auto &id = request.pathParts.at(0);
        auto &worker = workers_.emplace(id, Json::object()).first->second;
        worker.merge_patch({ { "id", id }, { "state", worker.value("state", "live") } });
        worker.merge_patch(Json::parse(request.body));
        changes_.push_back({ clock_.now(), id, worker });
        return reply(200, worker);
    }

    HttpReply listWorkers(const HttpRequest &request)
    {
        ++counters_["reads"];
        const auto since = request.queryValue("since");
        std::size_t cursor = since.empty() ? 0 : std::stoull(since);
        std::map<std::string, Json> latest;
        for (; cursor < changes_.size() && changes_[cursor].time + listLag_ <= clock_.now(); ++cursor) {
            latest[changes_[cursor].id] = changes_[cursor].worker;
        }
        auto workers = Json::array();
        for (auto &[id, worker] : latest) {
            workers.push_back(std::move(worker));
        }
        return reply(200, { { "workers", workers }, { "cursor", cursor } });
    }

    HttpReply putFaults(const HttpRequest &request)
    {
        const auto body = Json::parse(request.body);
        isDown_ = body.value("down", isDown_);
        delay_ = Milliseconds(body.value("delayMs", static_cast<long long>(delay_.count())));
        answersToLose_ = body.value("loseAnswersAfterWrite", answersToLose_);
        listLag_ = Milliseconds(body.value("listLagMs", static_cast<long long>(listLag_.count())));
        return reply(200, Json::object());
    }

    HttpReply getCounters(const HttpRequest &)
    {
        return reply(200, counters_);
    }

    const Options options_;
    Clock &clock_;
    std::mutex mutex_;
    WriteBudget writes_;
    WriteBudget reads_;
    std::map<std::string, Json> rows_;
    long long lastVersion_ = 0;
    std::map<std::string, CommitOutcome> outcomes_;
    std::deque<std::string> outcomeOrder_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, Json> workers_;
    std::vector<WorkerChange> changes_;
    std::map<std::string, long long> counters_;
    bool isDown_ = false;
    Milliseconds delay_ { 0 };
    int answersToLose_ = 0;
    Milliseconds listLag_;
};

} // namespace auburndoor
