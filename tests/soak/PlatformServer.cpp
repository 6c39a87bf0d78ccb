#include "soak/PlatformServer.h"

#include "JobCodec.h"
#include "WireJson.h"
#include "net/EventLoop.h"

#include <algorithm>

namespace auburndoor {

using platform::Json;

namespace {

constexpr Milliseconds reportPollInterval { 20 };

const char *refusalReason(CommandOutcome outcome)
{
    return outcome == CommandOutcome::Fenced ? "fence" : outcome == CommandOutcome::LeaseExpired ? "late" : "old";
}

WebReply makeCommandReply(CommandOutcome outcome, Milliseconds clock)
{
    Json body { { "clockMs", clock.count() } };
    if (outcome != CommandOutcome::Accepted) {
        body["reason"] = refusalReason(outcome);
    }
    return { outcome == CommandOutcome::Accepted ? 200 : 409, body.dump(), {} };
}

Json makeReportJson(const TaskReport &report, Milliseconds clock)
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
    return { { "clockMs", clock.count() }, { "running", running }, { "finished", ended }, { "born", report.incarnation } };
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

TimePoint PlatformServer::now() const
{
    return loop_.now();
}

Address PlatformServer::storeAddress() const
{
    return { "127.0.0.1", storeListener_->port() };
}

void PlatformServer::addWorker(const std::string &id, int cores, SimulatedWorker::Plan plan)
{
    WorkerEntry entry;
    entry.id = id;
    entry.service = "desk";
    entry.failureDomain = "z";
    entry.labels = { "a", "r1" };
    entry.capacity = { std::int64_t(cores) * 1000, 1 << 20, 0, 0, 0 };
    entry.incarnation = 1;
    addWorker(std::move(entry), std::move(plan));
    registerWorker(id);
}

SimulatedWorker &PlatformServer::addWorker(WorkerEntry entry, SimulatedWorker::Plan plan, const std::string &former)
{
    auto &endpoint = workers_[entry.id];
    if (!former.empty()) {
        endpoint = workers_.at(former);
    } else {
        endpoint = std::make_shared<WorkerEndpoint>();
        auto &added = *endpoint;
        added.listener = std::make_unique<HttpListener>(
            loop_, HttpListenerLimits(), [this, &added](const WebRequest &request, const HttpResponderPointer &responder) {
                serveWorker(added.worker, request, responder);
            });
        std::string error;
        if (!added.listener->listen({ "127.0.0.1", 0 }, error)) {
            throw std::runtime_error(error);
        }
        added.link = std::make_unique<FaultyLink>(loop_, Address { "127.0.0.1", added.listener->port() });
    }
    endpoint->worker = entry.id;
    entry.address = endpoint->link->address();
    return fleet.add(entry, std::move(plan));
}

Json PlatformServer::makeWorkerRow(const std::string &id)
{
    const auto &entry = fleet.worker(id).entry();
    const Json capacity { { "cpu", entry.capacity.milliCores }, { "memMb", entry.capacity.memoryMiB }, { "gpu", 0 } };
    return { { "service", entry.service },    { "address", entry.address.text() },
             { "zone", entry.failureDomain }, { "state", "ready" },
             { "capacity", capacity },        { "labels", entry.labels },
             { "born", entry.incarnation } };
}

void PlatformServer::registerWorker(const std::string &id)
{
    store.write("servers", id, makeWorkerRow(id).dump());
}

void PlatformServer::restartWorker(const std::string &id)
{
    fleet.worker(id).restart();
    // A restart closes the open connections of the worker.
    endpointOf(id).link->setMode(FaultyLink::Mode::Reset);
    endpointOf(id).link->setMode(FaultyLink::Mode::Open);
    registerWorker(id);
}

FaultyLink &PlatformServer::workerLink(const std::string &id)
{
    return *endpointOf(id).link;
}

PlatformServer::WorkerEndpoint &PlatformServer::endpointOf(const std::string &id) const
{
    return *workers_.at(id);
}

TimePoint PlatformServer::readLeaseEnd(const SimulatedWorker &worker, const Json &body)
{
    const Milliseconds deadline(body.at("deadlineMs").get<std::int64_t>());
    if (const auto ahead = deadline - worker.clock(); ahead > worker.maxLease) {
        excessiveDeadlines.push_back(worker.entry().id + " got a deadline " + std::to_string(ahead.count())
                                     + " ms ahead of its clock, which shows " + std::to_string(worker.clock().count())
                                     + " ms; its longest lease is " + std::to_string(worker.maxLease.count()) + " ms");
    }
    return worker.leaseEndAt(deadline);
}

bool PlatformServer::isServing(const std::string &id, std::int64_t incarnation)
{
    return endpointOf(id).worker == id && fleet.worker(id).entry().incarnation == incarnation;
}

void PlatformServer::serveWorker(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder)
{
    if (request.header("target-instance") != id) {
        responder->reply({ 421, Json { { "clockMs", fleet.worker(id).clock().count() } }.dump(), {} });
        return;
    }
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
            reportRequest.deadline = readLeaseEnd(fleet.worker(id), body);
        }
        answerReportRequest(id, reportRequest, responder);
        return;
    }
    const auto fault = drawFault ? drawFault() : CommandFault();
    if (fault.kind == CommandFault::Kind::Late) {
        // The worker carries out a delayed command later, unless it has been restarted by then.
        loop_.after(fault.late, [this, id, request, responder, incarnation = fleet.worker(id).entry().incarnation] {
            if (isServing(id, incarnation)) {
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
        if (onStopped) {
            onStopped(worker, *task, attempt, token);
        }
        responder->reply(makeCommandReply(worker.stop(*task, attempt, token), worker.clock()));
        return;
    }
    const StartCommand command { *task, attempt, body.value("spec", std::string()), {}, {} };
    const auto runCountBefore = worker.runs().size();
    const auto deadline = readLeaseEnd(worker, body);
    const auto outcome = worker.start(command, deadline, token);
    if (worker.runs().size() > runCountBefore) {
        if (onRunStarted) {
            onRunStarted(worker, command, token);
        }
        checker.check(worker, command);
        onStarted(command);
    }
    responder->reply(makeCommandReply(outcome, worker.clock()));
}

void PlatformServer::answerReportRequest(const std::string &id,
                                         const ReportRequest &reportRequest,
                                         const HttpResponderPointer &responder)
{
    auto &worker = fleet.worker(id);
    if (!isServing(id, reportRequest.incarnation)) {
        // The worker has left or has been restarted, which closed the connection.
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
        responder->reply(makeCommandReply(outcome, worker.clock()));
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
        responder->reply({ 200, makeReportJson(report, worker.clock()).dump(), {} });
    }
}

} // namespace auburndoor
