#include "soak/PlatformServer.h"

#include "JobCodec.h"
#include "WireJson.h"
#include "core/TextEncoding.h"
#include "net/EventLoop.h"

namespace auburndoor {

using platform::Json;

namespace {

constexpr Milliseconds lookStep { 20 };

/** The value of a query parameter; keys of the soak need no percent encoding. */
std::string parameter(const std::string &target, const std::string &name)
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

Json rowsJson(const std::vector<StoreRow> &rows)
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

/** Answers as the store does; no answer closes the connection. */
void reply(const StoreResult &result, const HttpResponderPointer &responder, std::size_t most = SIZE_MAX)
{
    if (result.outcome == StoreOutcome::Unknown) {
        responder->abandon();
        return;
    }
    auto rows = result.rows;
    const bool hasMore = rows.size() > most;
    rows.resize(std::min(rows.size(), most));
    const int status = result.outcome == StoreOutcome::Done ? 200 : result.outcome == StoreOutcome::Conflict ? 412 : 503;
    responder->reply(
        { status, Json { { "rows", rowsJson(rows) }, { "schemaVer", result.version }, { "hasMore", hasMore } }.dump(), {} });
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

Milliseconds clockOf(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch());
}

const char *reasonOf(CommandOutcome outcome)
{
    return outcome == CommandOutcome::Fenced ? "fence" : outcome == CommandOutcome::LeaseExpired ? "late" : "old";
}

WebReply orderReply(CommandOutcome outcome, TimePoint now)
{
    Json body { { "clockMs", clockOf(now).count() } };
    if (outcome != CommandOutcome::Accepted) {
        body["reason"] = reasonOf(outcome);
    }
    return { outcome == CommandOutcome::Accepted ? 200 : 409, body.dump(), {} };
}

Json reportJson(const TaskReport &report, TimePoint now)
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
    return { { "clockMs", clockOf(now).count() }, { "running", running }, { "finished", ended }, { "born", report.incarnation } };
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
    // The kept connections go with the life.
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
        const auto size = parameter(request.target, "pageSize");
        store.readAll(parameter(request.target, "table"),
                      parameter(request.target, "startKey"),
                      [responder, most = size.empty() ? 500 : std::stoul(size)](const StoreResult &result) {
                          reply(result, responder, most);
                      });
    } else if (path == "/api/rows-feed") {
        store.changes(parameter(request.target, "table"),
                      std::stoll(parameter(request.target, "dependsOn")),
                      Milliseconds(std::stoll(parameter(request.target, "waitMs"))),
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
    store.commit(std::move(change), [responder](const StoreResult &result) { reply(result, responder); });
}

void PlatformServer::serveWorker(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder)
{
    if (request.target == "/api/hold") {
        const auto body = Json::parse(request.body);
        Look look { body.value("ackSeq", std::int64_t(0)),
                    std::nullopt,
                    body.at("fencingToken"),
                    loop_.now() + Milliseconds(body.value("waitMs", 0)),
                    fleet.worker(id).entry().incarnation };
        if (body.contains("deadlineMs")) {
            look.deadline = TimePoint() + Milliseconds(body.at("deadlineMs").get<std::int64_t>());
        }
        answerLook(id, look, responder);
        return;
    }
    const auto fault = drawFault ? drawFault() : CommandFault();
    if (fault.kind == CommandFault::Kind::Late) {
        // What is carried out late waits in the worker, and goes with its life.
        loop_.after(fault.late, [this, id, request, responder, incarnation = fleet.worker(id).entry().incarnation] {
            if (fleet.worker(id).entry().incarnation == incarnation) {
                serveOrder(id, request, responder);
            }
        });
    } else {
        serveOrder(id, request, responder);
    }
}

void PlatformServer::serveOrder(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder)
{
    auto &worker = fleet.worker(id);
    const auto body = Json::parse(request.body);
    const auto task = platform::readTaskText(body.at("taskId").get<std::string>());
    const auto token = body.at("fencingToken").get<std::int64_t>();
    const auto attempt = body.at("attempt").get<std::int64_t>();
    if (request.target == "/api/run-stop") {
        responder->reply(orderReply(worker.stop(*task, attempt, token), loop_.now()));
        return;
    }
    const StartCommand order { *task, attempt, body.value("spec", std::string()), {}, {} };
    const auto before = worker.runs().size();
    const auto deadline = TimePoint() + Milliseconds(body.at("deadlineMs").get<std::int64_t>());
    const auto outcome = worker.start(order, deadline, token);
    if (worker.runs().size() > before) {
        checker.check(worker, order);
        onStarted(order);
    }
    responder->reply(orderReply(outcome, loop_.now()));
}

void PlatformServer::answerLook(const std::string &id, const Look &look, const HttpResponderPointer &responder)
{
    auto &worker = fleet.worker(id);
    if (worker.entry().incarnation != look.incarnation) {
        // The restart has closed the connection.
        responder->abandon();
        return;
    }
    TaskReport report;
    const auto outcome = worker.renewLeases(look.acknowledged, look.deadline, look.token, report);
    if (outcome != CommandOutcome::Accepted) {
        responder->reply(orderReply(outcome, loop_.now()));
    } else if (report.ended.empty() && loop_.now() < look.until) {
        loop_.after(lookStep, [this, id, responder, waiting = Look { 0, std::nullopt, look.token, look.until, look.incarnation }] {
            answerLook(id, waiting, responder);
        });
    } else {
        responder->reply({ 200, reportJson(report, loop_.now()).dump(), {} });
    }
}

} // namespace auburndoor
