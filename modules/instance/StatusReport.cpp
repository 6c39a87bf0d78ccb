#include "instance/StatusReport.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

using Json = nlohmann::ordered_json;

Json poolsOf(const Summary &summary)
{
    auto pools = Json::array();
    for (const auto &pool : summary.pools) {
        pools.push_back({ { "service", pool.service.text() }, { "freePlaces", pool.freePlaces }, { "queued", pool.queued } });
    }
    return pools;
}

Json memberOf(const Member &member, TimePoint now)
{
    return { { "id", member.id.text() },
             { "failureDomain", member.failureDomain.text() },
             { "region", member.region.text() },
             { "configurationVersion", member.configurationVersion },
             { "isLeaving", member.isLeaving },
             { "heardMsAgo", std::chrono::duration_cast<Milliseconds>(now - member.lastHeard).count() },
             { "pools", poolsOf(member.summary) } };
}

Json workerOf(const LedgerWorker &worker)
{
    const auto &view = worker.view;
    return { { "id", view.id.text() },         { "service", view.service.text() },  { "failureDomain", view.failureDomain.text() },
             { "shard", worker.shard.text() }, { "epoch", worker.epoch },           { "isOpen", view.isOpen },
             { "used", view.used.text() },     { "capacity", view.capacity.text() } };
}

} // namespace

std::string StatusReport::text(const StatusReport &report)
{
    Json json { { "id", report.self.id.text() },
                { "incarnation", report.self.incarnation },
                { "failureDomain", report.self.failureDomain.text() },
                { "region", report.self.region.text() },
                { "ready", report.whyNotReady.empty() },
                { "reason", report.whyNotReady },
                { "configurationVersion", report.configurationVersion },
                { "pools", poolsOf(report.self.summary) } };
    json["peers"] = Json::array();
    for (const auto &peer : report.peers) {
        json["peers"].push_back(memberOf(peer, report.now));
    }
    json["shards"] = Json::array();
    for (const auto &[shard, owned] : report.shards) {
        json["shards"].push_back({ { "shard", shard.text() }, { "epoch", owned.epoch } });
    }
    json["workers"] = Json::array();
    for (const auto &worker : report.workers) {
        json["workers"].push_back(workerOf(worker));
    }
    return json.dump();
}

} // namespace auburndoor
