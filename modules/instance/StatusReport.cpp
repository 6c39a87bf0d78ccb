#include "instance/StatusReport.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

using Json = nlohmann::ordered_json;

Json poolsToJson(const LoadSummary &summary)
{
    auto pools = Json::array();
    for (const auto &pool : summary.pools) {
        pools.push_back({ { "service", pool.service.text() }, { "freePlaces", pool.freePlaces }, { "queued", pool.queued } });
    }
    return pools;
}

Json memberToJson(const Member &member, TimePoint now)
{
    return { { "instance", member.id.text() },
             { "configurationVersion", member.configurationVersion },
             { "leaving", member.isLeaving },
             { "failureDomain", member.failureDomain.text() },
             { "heardMsAgo", std::chrono::duration_cast<Milliseconds>(now - member.lastHeard).count() },
             { "pools", poolsToJson(member.summary) } };
}

/** Returns the pools of this instance, with the number of workers that it owns in each. */
Json ownPoolsToJson(const StatusReport &report)
{
    std::map<std::string, int> workers;
    for (const auto &worker : report.workers) {
        ++workers[worker.view.service.text()];
    }
    auto pools = poolsToJson(report.self.summary);
    for (auto &pool : pools) {
        pool["workers"] = workers[pool.at("service")];
    }
    return pools;
}

Json workerToJson(const LedgerWorker &worker)
{
    const auto &view = worker.view;
    return { { "id", view.id.text() },         { "service", view.service.text() },  { "failureDomain", view.failureDomain.text() },
             { "shard", worker.shard.text() }, { "epoch", worker.epoch },           { "isOpen", view.isOpen },
             { "used", view.used.text() },     { "capacity", view.capacity.text() } };
}

} // namespace

std::string StatusReport::text(const StatusReport &report)
{
    Json json { { "instance", report.self.id.text() },      { "failureDomain", report.self.failureDomain.text() },
                { "region", report.self.region.text() },    { "ready", report.notReadyReason.empty() },
                { "reason", report.notReadyReason },        { "draining", report.self.isLeaving },
                { "incarnation", report.self.incarnation }, { "configurationVersion", report.configurationVersion },
                { "pools", ownPoolsToJson(report) } };
    json["peers"] = Json::array();
    for (const auto &peer : report.peers) {
        json["peers"].push_back(memberToJson(peer, report.now));
    }
    json["shards"] = Json::array();
    for (const auto &[shard, owned] : report.shards) {
        json["shards"].push_back({ { "shard", shard.text() }, { "epoch", owned.epoch } });
    }
    json["workers"] = Json::array();
    for (const auto &worker : report.workers) {
        json["workers"].push_back(workerToJson(worker));
    }
    return json.dump();
}

} // namespace auburndoor
