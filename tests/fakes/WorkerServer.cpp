#include "fakes/WorkerServer.h"

#include "worker/WorkerMessages.h"

#include <nlohmann/json.hpp>

#include <httplib.h>

namespace auburndoor {

namespace {

using Json = nlohmann::json;

constexpr int listenBacklog = 1024;
/** How long a swapped answer waits for its partner. */
constexpr Milliseconds partnerWait { 2000 };

/** One thread for each connection, so that calls that run long and idle connections never keep an order waiting. */
class ThreadPerConnection : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> job) override
    {
        const std::lock_guard lock(mutex_);
        ++running_;
        std::thread([this, job = std::move(job)] {
            job();
            const std::lock_guard guard(mutex_);
            --running_;
            condition_.notify_all();
        }).detach();
    }

    void shutdown() override
    {
        std::unique_lock lock(mutex_);
        condition_.wait(lock, [this] { return running_ == 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable condition_;
    int running_ = 0;
};

/** Gives access to the listening socket, whose backlog the library fixes at 5. */
class ListeningServer : public httplib::Server
{
public:
    bool widenBacklog()
    {
        return ::listen(svr_sock_, listenBacklog) == 0;
    }
};

struct Answer
{
    int status = 200;
    std::string body;
};

Answer refuse(const TaskId &task, const Failure &failure)
{
    return { 409, encode(WorkerRefusal { task, failure.reason, failure.message }) };
}

long long toUnixMs(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

Json toJson(const WorkerEvent &event)
{
    static constexpr std::string_view kinds[] { "start", "end", "refusal" };
    return { { "event", kinds[static_cast<int>(event.kind)] },
             { "timeMs", toUnixMs(event.time) },
             { "task", event.task.text() },
             { "epoch", event.epoch },
             { "state", name(event.state) },
             { "reason", name(event.reason) } };
}

} // namespace

class WorkerServer::Implementation
{
public:
    Implementation(WorkerId id, const Resources &capacity, Clock &clock) : worker_(std::move(id), capacity, clock), clock_(clock)
    {
        server_.new_task_queue = [] { return new ThreadPerConnection(); };
        server_.set_tcp_nodelay(true);
        addOrders();
        server_.Get("/v1/history", [this](const auto &, auto &response) { response.set_content(history(), "application/json"); });
        server_.Put("/v1/faults",
                    [this](const auto &request, auto &response) { response.status = setFaults(request.body) ? 200 : 400; });
        server_.Put("/v1/state", [this](const auto &request, auto &response) {
            const auto json = Json::parse(request.body, nullptr, false);
            response.status = json.is_object() ? 200 : 400;
            worker_.setLeaving(json.is_object() && json.value("state", std::string()) == "leaving");
        });
    }

    int start(const std::string &address, int port)
    {
        const auto bound = port == 0 ? server_.bind_to_any_port(address) : server_.bind_to_port(address, port) ? port : 0;
        if (bound <= 0 || !server_.widenBacklog()) {
            return 0;
        }
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        return bound;
    }

    void stop()
    {
        server_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    FakeWorker worker_;

private:
    using Order = std::function<Answer(const WorkerCommand &)>;

    void addOrders()
    {
        addReports();
        addStarts();
        route("/v1/query", [this](const WorkerCommand &order) {
            Failure failure;
            return answerTask(order, worker_.query(order.task.id, {}, failure), failure);
        });
        route("/v1/cancel", [this](const WorkerCommand &order) {
            Failure failure;
            return answerTask(order, worker_.cancel(order.task.id, order.task.epoch, {}, failure), failure);
        });
        route("/v1/checkpoint", [this](const WorkerCommand &order) {
            Failure failure;
            return answerTask(order, worker_.checkpoint(order.task.id, order.task.epoch, {}, failure), failure);
        });
        route("/v1/throttle", [this](const WorkerCommand &order) {
            Failure failure;
            if (!worker_.throttle(order.task.id, order.task.epoch, order.percent, {}, failure)) {
                return refuse(order.task.id, failure);
            }
            return answerTask(order, worker_.query(order.task.id, {}, failure), failure);
        });
    }

    void addReports()
    {
        route("/v1/seize", [this](const WorkerCommand &order) {
            Failure failure;
            MarkedReport report { worker_.id(), {}, 0 };
            const auto seized = worker_.claim(order.task.epoch, order.owner, {}, failure);
            if (!seized) {
                return refuse({}, failure);
            }
            report.report = *seized;
            return Answer { 200, encode(report, ReportKind::Claim) };
        });
        route("/v1/renew", [this](const WorkerCommand &order) {
            Failure failure;
            MarkedReport report { worker_.id(), {}, order.mark };
            const auto renewed = worker_.renewAfter(order.task.epoch, order.task.lease, report.mark, failure);
            if (!renewed) {
                return refuse({}, failure);
            }
            report.report = *renewed;
            return Answer { 200, encode(report, ReportKind::Renewal) };
        });
    }

    void addStarts()
    {
        const auto serve = [this](const WorkerCommand &order, bool isCall) {
            Failure failure;
            const auto deadline = clock_.now() + order.wait;
            const auto result = isCall ? worker_.call(order.task, deadline, failure) : worker_.start(order.task, deadline, failure);
            if (result.status == CallStatus::NotRun) {
                return refuse(order.task.id, failure);
            }
            const auto answer = answerTask(order, worker_.query(order.task.id, {}, failure), failure);
            return isCall ? Answer { answer.status, cross(answer.body) } : answer;
        };
        route("/v1/call", [serve](const WorkerCommand &order) { return serve(order, true); });
        route("/v1/start", [serve](const WorkerCommand &order) { return serve(order, false); });
    }

    void route(const std::string &path, Order serve)
    {
        server_.Post(path, [this, serve = std::move(serve)](const httplib::Request &request, httplib::Response &response) {
            const auto order = decodeCommand(request.body);
            if (!order) {
                response.status = 400;
                return;
            }
            Answer answer;
            if (order->worker != worker_.id()) {
                answer = refuse(order->task.id,
                                { FailureStep::None, {}, FailureReason::UnknownName, "this is worker " + worker_.id().text() });
            } else {
                answer = serve(*order);
            }
            send(answer, response);
        });
    }

    Answer answerTask(const WorkerCommand &order, const std::optional<TaskStatus> &task, const Failure &failure)
    {
        return task ? Answer { 200, encode(*task) } : refuse(order.task.id, failure);
    }

    /** Sends the answer, late or cut if a fault says so. */
    void send(const Answer &answer, httplib::Response &response)
    {
        std::unique_lock lock(mutex_);
        if (faults_.answerDelay.count() > 0) {
            clock_.waitUntil(lock, condition_, clock_.now() + faults_.answerDelay, [] { return false; });
        }
        response.status = answer.status;
        if (faults_.cutAnswers <= 0) {
            response.set_content(answer.body, "application/json");
            return;
        }
        --faults_.cutAnswers;
        // Half of the announced body, then the connection is closed.
        const auto half = answer.body.substr(0, answer.body.size() / 2);
        response.set_content_provider(
            answer.body.size(), "application/json", [half](std::size_t offset, std::size_t, httplib::DataSink &sink) {
                if (offset == 0) {
                    sink.write(half.data(), half.size());
                }
                return false;
            });
    }

    /** Swaps the answer with that of another call if a fault says so. */
    std::string cross(const std::string &body)
    {
        std::unique_lock lock(mutex_);
        if (faults_.crossAnswers <= 0) {
            return body;
        }
        if (!parked_) {
            parked_ = body;
            exchanged_.reset();
            clock_.waitUntil(lock, condition_, clock_.now() + partnerWait, [this] { return exchanged_.has_value(); });
            parked_.reset();
            return exchanged_.value_or(body);
        }
        if (exchanged_) {
            return body;
        }
        --faults_.crossAnswers;
        exchanged_ = body;
        condition_.notify_all();
        return *parked_;
    }

    bool setFaults(const std::string &body)
    {
        const auto json = Json::parse(body, nullptr, false);
        if (!json.is_object()) {
            return false;
        }
        WorkerFaults faults;
        faults.answerDelay = Milliseconds(json.value("answerDelayMs", 0LL));
        faults.cutAnswers = json.value("cutAnswers", 0);
        faults.crossAnswers = json.value("crossAnswers", 0);
        faults.failEverything = json.value("failEverything", false);
        faults.startDelay = Milliseconds(json.value("startDelayMs", 0LL));
        faults.usageLag = Milliseconds(json.value("usageLagMs", 0LL));
        faults.ignoreEpoch = json.value("ignoreEpoch", false);
        faults.forgetCancelled = json.value("forgetCancelled", false);
        const std::lock_guard lock(mutex_);
        faults_ = faults;
        faults.cutAnswers = 0;
        worker_.setFaults(faults);
        return true;
    }

    std::string history()
    {
        Json events = Json::array();
        for (const auto &event : worker_.history()) {
            events.push_back(toJson(event));
        }
        const auto use = worker_.highestUse();
        return Json {
            { "worker", worker_.id().text() },
            { "events", events },
            { "highestUse",
              { { "milliCores", use.milliCores },
                { "memoryMiB", use.memoryMiB },
                { "accelerators", use.accelerators },
                { "slots", use.slots },
                { "connections", use.connections } } }
        }.dump();
    }

    Clock &clock_;
    ListeningServer server_;
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable condition_;
    WorkerFaults faults_;
    std::optional<std::string> parked_;
    std::optional<std::string> exchanged_;
};

WorkerServer::WorkerServer(WorkerId id, const Resources &capacity, Clock &clock)
    : implementation_(std::make_unique<Implementation>(std::move(id), capacity, clock))
{
}

WorkerServer::~WorkerServer()
{
    stop();
}

int WorkerServer::start(const std::string &address, int port)
{
    return implementation_->start(address, port);
}

void WorkerServer::stop()
{
    implementation_->stop();
}

FakeWorker &WorkerServer::worker()
{
    return implementation_->worker_;
}

} // namespace auburndoor
