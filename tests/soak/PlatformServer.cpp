#include "soak/PlatformServer.h"

#include "JobCodec.h"
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

constexpr Milliseconds reportPollInterval { 20 };

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
    responder->reply(
        { status, Json { { "rows", makeRowsJson(rows) }, { "schemaVer", result.version }, { "hasMore", hasMore } }.dump(), {} });
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

Milliseconds sinceEpoch(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch());
}

const char *refusalReason(CommandOutcome outcome)
{
    return outcome == CommandOutcome::Fenced ? "fence" : outcome == CommandOutcome::LeaseExpired ? "late" : "old";
}

WebReply makeCommandReply(CommandOutcome outcome, TimePoint now)
{
    Json body { { "clockMs", sinceEpoch(now).count() } };
    if (outcome != CommandOutcome::Accepted) {
        body["reason"] = refusalReason(outcome);
    }
    return { outcome == CommandOutcome::Accepted ? 200 : 409, body.dump(), {} };
}

Json makeReportJson(const TaskReport &report, TimePoint now)
{
    Json running = Json::array();
    for (const auto &run : report.running) {
        running.push_back(Json::array({ platform::taskText(run.task), run.attempt, run.checkpoint, run.percent }));
    }
    Json ended = Json::array();
    for (const auto &end : report.ended) {
        ended.push_back(
            Json::array({ end.number, platform::taskText(end.task), end.attempt, std::string(name(end.end)), end.checkpoint }));
    }
    return {
        { "clockMs", sinceEpoch(now).count() }, { "running", running }, { "finished", ended }, { "born", report.incarnation }
    };
}

} // namespace

PlatformServer::PlatformServer(EventLoop &loop) : store(loop), fleet(loop), checker(fleet), loop_(loop)
{
    storeListener_ = std::make_unique<HttpListener>(
        loop, HttpListenerLimits(), [this](const WebRequest &request, const HttpResponderPointer &responder) {
            serveStore(request, responder);
        });
    std::string error;
    if (!storeListener_->listen({ "127.0.0.1", 0 }, error)) {
        throw std::runtime_error(error);
    }
}

PlatformServer::~PlatformServer() = default;

Address PlatformServer::storeAddress() const
{
    return { "127.0.0.1", storeListener_->port() };
}

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

void PlatformServer::addWorker(const std::string &id, int cores, SimulatedWorker::Plan plan)
{
    auto &endpoint = workers_[id];
    endpoint.listener = std::make_unique<HttpListener>(
        loop_, HttpListenerLimits(), [this, id](const WebRequest &request, const HttpResponderPointer &responder) {
            serveWorker(id, request, responder);
        });
    std::string error;
    if (!endpoint.listener->listen({ "127.0.0.1", 0 }, error)) {
        throw std::runtime_error(error);
    }
    endpoint.link = std::make_unique<FaultyLink>(loop_, Address { "127.0.0.1", endpoint.listener->port() });
    WorkerEntry entry;
    entry.id = id;
    entry.service = "desk";
    entry.address = endpoint.link->address();
    entry.labels = { "a", "r1" };
    entry.capacity = { std::int64_t(cores) * 1000, 1 << 20, 0, 0, 0 };
    entry.incarnation = 1;
    fleet.add(entry, std::move(plan));
    registerWorker(id);
}

void PlatformServer::registerWorker(const std::string &id)
{
    const auto &entry = fleet.worker(id).entry();
    const Json capacity { { "cpu", entry.capacity.milliCores }, { "memMb", entry.capacity.memoryMiB }, { "gpu", 0 } };
    const Json row { { "service", entry.service },
                     { "address", entry.address.text() },
                     { "zone", "z" },
                     { "state", "ready" },
                     { "capacity", capacity },
                     { "labels", entry.labels },
                     { "born", entry.incarnation } };
    store.write("servers", id, row.dump());
}

void PlatformServer::restartWorker(const std::string &id)
{
    fleet.worker(id).restart();
    // A restart closes the open connections of the worker.
    workers_.at(id).link->setMode(FaultyLink::Mode::Reset);
    workers_.at(id).link->setMode(FaultyLink::Mode::Open);
    registerWorker(id);
}

FaultyLink &PlatformServer::workerLink(const std::string &id)
{
    return *workers_.at(id).link;
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
    } else if (path == "/api/rows-feed") {
        store.changes(readQueryParameter(request.target, "table"),
                      std::stoll(readQueryParameter(request.target, "dependsOn")),
                      Milliseconds(std::stoll(readQueryParameter(request.target, "waitMs"))),
                      [responder](const StoreResult &result) { reply(result, responder); });
    } else {
        responder->reply({ 404, {}, {} });
    }
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

void PlatformServer::serveWorker(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder)
{
    const auto body = Json::parse(request.body);
    const auto token = body.at("fencingToken").get<std::int64_t>();
    if (isCut(id, token)) {
        holdWhileCut(id, token, responder);
        return;
    }
    if (request.target == "/api/hold") {
        ReportRequest reportRequest { body.value("ackSeq", std::int64_t(0)),
                                      std::nullopt,
                                      token,
                                      loop_.now() + Milliseconds(body.value("waitMs", 0)),
                                      fleet.worker(id).entry().incarnation };
        if (body.contains("deadlineMs")) {
            reportRequest.deadline = TimePoint() + Milliseconds(body.at("deadlineMs").get<std::int64_t>());
        }
        answerReportRequest(id, reportRequest, responder);
        return;
    }
    const auto fault = drawFault ? drawFault() : CommandFault();
    if (fault.kind == CommandFault::Kind::Late) {
        // The worker carries out a delayed command later, unless it has been restarted by then.
        loop_.after(fault.late, [this, id, request, responder, incarnation = fleet.worker(id).entry().incarnation] {
            if (fleet.worker(id).entry().incarnation == incarnation) {
                serveCommand(id, request, responder);
            }
        });
    } else {
        serveCommand(id, request, responder);
    }
}

bool PlatformServer::isCut(const std::string &id, std::int64_t token) const
{
    return std::any_of(tokenCuts.begin(), tokenCuts.end(), [&id, token](const TokenCut &cut) {
        return cut.worker == id && cut.firstToken <= token && token <= cut.lastToken;
    });
}

void PlatformServer::holdWhileCut(const std::string &id, std::int64_t token, const HttpResponderPointer &responder)
{
    if (!isCut(id, token)) {
        responder->abandon();
        return;
    }
    loop_.after(reportPollInterval, [this, id, token, responder] { holdWhileCut(id, token, responder); });
}

void PlatformServer::serveCommand(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder)
{
    auto &worker = fleet.worker(id);
    const auto body = Json::parse(request.body);
    const auto task = platform::readTaskText(body.at("taskId").get<std::string>());
    const auto token = body.at("fencingToken").get<std::int64_t>();
    const auto attempt = body.at("attempt").get<std::int64_t>();
    if (request.target == "/api/run-stop") {
        responder->reply(makeCommandReply(worker.stop(*task, attempt, token), loop_.now()));
        return;
    }
    const StartCommand command { *task, attempt, body.value("spec", std::string()), {}, {} };
    const auto runCountBefore = worker.runs().size();
    const auto deadline = TimePoint() + Milliseconds(body.at("deadlineMs").get<std::int64_t>());
    const auto outcome = worker.start(command, deadline, token);
    if (worker.runs().size() > runCountBefore) {
        checker.check(worker, command);
        onStarted(command);
    }
    responder->reply(makeCommandReply(outcome, loop_.now()));
}

void PlatformServer::answerReportRequest(const std::string &id,
                                         const ReportRequest &reportRequest,
                                         const HttpResponderPointer &responder)
{
    auto &worker = fleet.worker(id);
    if (worker.entry().incarnation != reportRequest.incarnation) {
        // The worker has been restarted, which closed the connection.
        responder->abandon();
        return;
    }
    if (isCut(id, reportRequest.token)) {
        holdWhileCut(id, reportRequest.token, responder);
        return;
    }
    TaskReport report;
    const auto outcome = worker.renewLeases(reportRequest.acknowledged, reportRequest.deadline, reportRequest.token, report);
    if (outcome != CommandOutcome::Accepted) {
        responder->reply(makeCommandReply(outcome, loop_.now()));
    } else if (report.ended.empty() && loop_.now() < reportRequest.pollDeadline) {
        loop_.after(reportPollInterval,
                    [this,
                     id,
                     responder,
                     nextRequest = ReportRequest {
                         0, std::nullopt, reportRequest.token, reportRequest.pollDeadline, reportRequest.incarnation }] {
                        answerReportRequest(id, nextRequest, responder);
                    });
    } else {
        responder->reply({ 200, makeReportJson(report, loop_.now()).dump(), {} });
    }
}

} // namespace auburndoor
