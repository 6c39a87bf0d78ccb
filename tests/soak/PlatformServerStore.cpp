#include "soak/PlatformServer.h"

#include "WireJson.h"
#include "core/TextEncoding.h"
#include "dispatch/CommitQueue.h"
#include "entry/EpochRow.h"
#include "net/EventLoop.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

using platform::Json;

namespace {

/** Returns the value of a query parameter, or an empty string. The keys of this test need no percent decoding. */
std::string readQueryParameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    for (auto begin = query; begin != std::string::npos; begin = target.find('&', begin + 1)) {
        if (target.compare(begin + 1, name.size() + 1, name + "=") == 0) {
            const auto value = begin + name.size() + 2;
            return target.substr(value, target.find('&', value) - value);
        }
    }
    return {};
}

Json makeRowsJson(const std::vector<StoreRow> &rows)
{
    Json list = Json::array();
    for (const auto &row : rows) {
        Json json { { "table", row.table }, { "part", "" }, { "key", row.key }, { "schemaVer", row.version } };
        if (row.isRemoved) {
            json["compacted"] = true;
        } else {
            json["value"] = toBase64(row.value);
        }
        list.push_back(std::move(json));
    }
    return list;
}

/** Passes the reply to a function instead of sending it. */
class InterceptedResponder : public HttpResponder
{
public:
    InterceptedResponder(HttpResponderPointer responder, std::function<void(WebReply)> onReply)
        : responder_(std::move(responder)), onReply_(std::move(onReply))
    {
    }

    void reply(WebReply reply) override
    {
        onReply_(std::move(reply));
    }
    void abandon() override
    {
        responder_->abandon();
    }

private:
    HttpResponderPointer responder_;
    std::function<void(WebReply)> onReply_;
};

/** Sends the result of a store call; an unknown outcome closes the connection without an answer. */
void reply(const StoreResult &result, const HttpResponderPointer &responder, std::size_t maximumRows = SIZE_MAX)
{
    if (result.outcome == StoreOutcome::Unknown) {
        responder->abandon();
        return;
    }
    auto rows = result.rows;
    const bool hasMore = rows.size() > maximumRows;
    rows.resize(std::min(rows.size(), maximumRows));
    const std::map<StoreOutcome, int> statuses { { StoreOutcome::Done, 200 },
                                                 { StoreOutcome::Conflict, 412 },
                                                 { StoreOutcome::Rejected, 400 } };
    const auto found = statuses.find(result.outcome);
    const int status = found == statuses.end() ? 503 : found->second;
    Json body { { "rows", makeRowsJson(rows) }, { "schemaVer", result.version }, { "hasMore", hasMore } };
    if (result.time && status == 200) {
        body["nowMs"] = result.time->earliest.count();
    }
    responder->reply({ status, body.dump(), {} });
}

std::vector<StoreRow> readRows(const Json &root, const char *name)
{
    std::vector<StoreRow> rows;
    for (const auto &json : root.value(name, Json::array())) {
        rows.push_back({ json.at("table"),
                         json.at("key"),
                         fromBase64(json.value("value", std::string())).value_or(std::string()),
                         json.value("schemaVer", std::int64_t(0)) });
    }
    return rows;
}

/** The owner that a transaction names in the epoch row; empty if it names none. */
std::string readNewOwner(const StoreChange &change)
{
    const auto isEpochRow = [](const StoreRow &row) { return row.table == FencingRows::table && row.key == FencingRows::epochKey; };
    const auto row = std::find_if(change.writes.begin(), change.writes.end(), isEpochRow);
    return row == change.writes.end() ? std::string() : EpochRow::read(*row).owner;
}

} // namespace

Address PlatformServer::addStoreClient(const std::string &process)
{
    auto &client = storeClients_[process];
    client.listener = std::make_unique<HttpListener>(
        loop_, HttpListenerLimits(), [this, &client](const WebRequest &request, const HttpResponderPointer &responder) {
            serveStoreClient(client, request, responder);
        });
    std::string error;
    if (!client.listener->listen({ "127.0.0.1", 0 }, error)) {
        throw std::runtime_error(error);
    }
    return { "127.0.0.1", client.listener->port() };
}

void PlatformServer::setStoreFault(const std::string &process, const StoreFault &fault)
{
    auto &client = storeClients_.at(process);
    client.fault = fault;
    for (const auto &responder : std::exchange(client.held, {})) {
        responder->abandon();
    }
}

void PlatformServer::serveStoreClient(StoreClient &client, const WebRequest &request, const HttpResponderPointer &responder)
{
    const bool isWrite = request.target.starts_with("/api/rows-tx");
    const auto activeKind = [&client, isWrite, table = readQueryParameter(request.target, "table")] {
        const bool isTableAffected = client.fault.table.empty() || client.fault.table == table;
        const bool isAffected = isWrite ? client.fault.affectsWrites : client.fault.affectsReads && isTableAffected;
        return isAffected ? client.fault.kind : StoreFault::Kind::None;
    };
    switch (activeKind()) {
    case StoreFault::Kind::Refuse:
        responder->reply({ 503, {}, {} });
        return;
    case StoreFault::Kind::Silent:
        client.held.push_back(responder);
        return;
    case StoreFault::Kind::LoseReplies:
    case StoreFault::Kind::None:
        break;
    }
    // The fault is looked up again when the call has been carried out: it may begin with this very call.
    const auto reply = [&client, responder, activeKind](WebReply webReply) {
        if (activeKind() == StoreFault::Kind::None || activeKind() == StoreFault::Kind::Refuse) {
            responder->reply(std::move(webReply));
        } else {
            client.held.push_back(responder);
        }
    };
    serveStore(request, std::make_shared<InterceptedResponder>(responder, reply));
}

void PlatformServer::serveStore(const WebRequest &request, const HttpResponderPointer &responder)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/api/rows-tx") {
        serveTransaction(request.body, responder);
    } else if (path == "/api/rows-get") {
        const auto size = readQueryParameter(request.target, "pageSize");
        store.readAll(readQueryParameter(request.target, "table"),
                      readQueryParameter(request.target, "startKey"),
                      [responder, maximumRows = size.empty() ? 500 : std::stoul(size)](const StoreResult &result) {
                          reply(result, responder, maximumRows);
                      });
    } else if (path == "/api/rows-feed" && feedInterval > Milliseconds(0)) {
        serveFeed(readQueryParameter(request.target, "table"),
                  std::stoll(readQueryParameter(request.target, "dependsOn")),
                  loop_.now() + Milliseconds(std::stoll(readQueryParameter(request.target, "waitMs"))),
                  responder);
    } else if (path == "/api/rows-feed") {
        store.changes(readQueryParameter(request.target, "table"),
                      std::stoll(readQueryParameter(request.target, "dependsOn")),
                      Milliseconds(std::stoll(readQueryParameter(request.target, "waitMs"))),
                      [responder](const StoreResult &result) { reply(result, responder); });
    } else {
        responder->reply({ 404, {}, {} });
    }
}

void PlatformServer::serveFeed(const std::string &table,
                               std::int64_t after,
                               TimePoint deadline,
                               const HttpResponderPointer &responder)
{
    store.changes(table, after, Milliseconds(0), [this, table, after, deadline, responder](const StoreResult &result) {
        if (result.outcome != StoreOutcome::Done || !result.rows.empty() || loop_.now() >= deadline) {
            reply(result, responder);
            return;
        }
        loop_.after(feedInterval, [this, table, after, deadline, responder] { serveFeed(table, after, deadline, responder); });
    });
}

void PlatformServer::serveTransaction(const std::string &body, const HttpResponderPointer &responder)
{
    const auto root = Json::parse(body);
    StoreChange change;
    for (const auto &row : readRows(root, "expectedRev")) {
        change.expected.push_back({ row.table, row.key, row.version });
    }
    change.writes = readRows(root, "write");
    change.removals = readRows(root, "remove");
    const auto owner = readNewOwner(change);
    store.commit(std::move(change), [this, responder, owner](const StoreResult &result) {
        if (result.outcome == StoreOutcome::Done && !owner.empty() && onTakeover) {
            // A copy, since the function may replace itself.
            const auto callback = onTakeover;
            callback(owner);
        }
        reply(result, responder);
    });
}

} // namespace auburndoor
