#include "ReviewWorker.h"

#include <algorithm>
#include <stdexcept>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

constexpr Milliseconds tickInterval { 20 };
// A task that lasts is at work after this time.
constexpr Milliseconds startupTime { 500 };
constexpr std::size_t maxListedEnds = 500;

} // namespace

ReviewWorker::ReviewWorker(EventLoop &loop, Identity identity, Milliseconds maxHold, Milliseconds killGrace, Hooks hooks)
    : loop_(loop)
    , identity_(std::move(identity))
    , maxHold_(maxHold)
    , killGrace_(killGrace)
    , hooks_(std::move(hooks))
    , born_(loop.wallNow().count())
    , startedAt_(loop.now())
{
    listener_ = std::make_unique<HttpListener>(
        loop, HttpListenerLimits(), [this](const WebRequest &request, const HttpResponderPointer &responder) {
            serve(request, responder);
        });
    std::string error;
    if (!listener_->listen({ "127.0.0.1", 0 }, error)) {
        throw std::runtime_error(error);
    }
    link_ = std::make_unique<FaultyLink>(loop, Address { "127.0.0.1", listener_->port() });
    tick();
}

const ReviewWorker::Identity &ReviewWorker::identity() const
{
    return identity_;
}

std::string ReviewWorker::makeRow()
{
    return Json {
        { "service", identity_.service },
        { "address", link_->address().text() },
        { "zone", identity_.zone },
        { "version", "v1" },
        { "slots", 8 },
        { "state", "ready" },
        { "coldRemainingMs", 0 },
        { "capacity", { { "cpu", identity_.milliCores }, { "memMb", identity_.memoryMiB }, { "gpu", 0 } } },
        { "labels", { "a", identity_.rack } },
        { "clockMs", clock().count() },
        { "born", born_ },
        { "seq", ++reports_ }
    }.dump();
}

void ReviewWorker::crash()
{
    isUp_ = false;
    link_->setMode(FaultyLink::Mode::Refused);
    holds_.clear();
    for (const auto &[key, run] : std::exchange(runs_, {})) {
        hooks_.onOver(identity_.id, key, "crashed");
    }
}

void ReviewWorker::restart()
{
    isUp_ = true;
    born_ = std::max(born_ + 1, loop_.wallNow().count());
    reports_ = 0;
    startedAt_ = loop_.now();
    token_ = 0;
    leaseEnd_ = {};
    overAttempts_.clear();
    ended_.clear();
    nextEnd_ = 1;
    link_->setMode(FaultyLink::Mode::Open);
}

bool ReviewWorker::isUp() const
{
    return isUp_;
}

FaultyLink &ReviewWorker::link()
{
    return *link_;
}

std::set<ReviewWorker::RunKey> ReviewWorker::runs() const
{
    std::set<RunKey> keys;
    for (const auto &[key, run] : runs_) {
        keys.insert(key);
    }
    return keys;
}

Milliseconds ReviewWorker::clock() const
{
    return std::chrono::duration_cast<Milliseconds>(loop_.now() - startedAt_);
}

void ReviewWorker::refuse(const HttpResponderPointer &responder, const std::string &reason) const
{
    responder->reply({ 409, Json { { "clockMs", clock().count() }, { "reason", reason }, { "born", born_ } }.dump(), {} });
}

void ReviewWorker::accept(const HttpResponderPointer &responder) const
{
    responder->reply({ 200, Json { { "clockMs", clock().count() }, { "born", born_ } }.dump(), {} });
}

void ReviewWorker::serve(const WebRequest &request, const HttpResponderPointer &responder)
{
    if (!isUp_) {
        responder->abandon();
        return;
    }
    if (request.header("target-instance") != identity_.id) {
        responder->reply({ 421, Json { { "clockMs", clock().count() }, { "born", born_ } }.dump(), {} });
        return;
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        responder->reply({ 400, {}, {} });
        return;
    }
    settle();
    if (body.value("fencingToken", std::int64_t(0)) < token_) {
        refuse(responder, "fence");
        return;
    }
    token_ = body.value("fencingToken", std::int64_t(0));
    if (request.target == "/api/run-start") {
        start(body, responder);
    } else if (request.target == "/api/run-stop") {
        stop(body, responder);
    } else if (request.target == "/api/hold") {
        hold(body, responder);
    } else if (request.target == "/api/pace") {
        accept(responder);
    } else {
        responder->reply({ 404, {}, {} });
    }
}

void ReviewWorker::extendLease(const Json &body)
{
    if (body.contains("deadlineMs")) {
        const auto deadline = startedAt_ + Milliseconds(body.at("deadlineMs").get<std::int64_t>());
        leaseEnd_ = std::max(leaseEnd_, std::min(deadline, loop_.now() + maxHold_));
    }
}

void ReviewWorker::start(const Json &body, const HttpResponderPointer &responder)
{
    const RunKey key { body.at("taskId").get<std::string>(), body.at("attempt").get<std::int64_t>() };
    if (runs_.contains(key)) {
        extendLease(body);
        accept(responder);
        return;
    }
    const auto over = overAttempts_.find(key.first);
    if (over != overAttempts_.end() && key.second <= over->second) {
        extendLease(body);
        refuse(responder, "old");
        return;
    }
    if (startedAt_ + Milliseconds(body.value("deadlineMs", std::int64_t(0))) <= loop_.now()) {
        refuse(responder, "late");
        return;
    }
    extendLease(body);
    const auto work = hooks_.plan(key.first);
    const auto now = loop_.now();
    runs_[key] = { now, work.duration ? std::optional(now + *work.duration) : std::nullopt, work.duration, work.end };
    hooks_.onStarted(identity_.id, key);
    accept(responder);
}

void ReviewWorker::stop(const Json &body, const HttpResponderPointer &responder)
{
    const RunKey key { body.at("taskId").get<std::string>(), body.at("attempt").get<std::int64_t>() };
    const auto found = runs_.find(key);
    if (found == runs_.end()) {
        auto &over = overAttempts_[key.first];
        over = std::max(over, key.second);
    } else {
        const auto stopsAt = loop_.now() + killGrace_ / 2;
        if (!found->second.endsAt || *found->second.endsAt > stopsAt) {
            found->second.endsAt = stopsAt;
            found->second.end = "stopped";
        }
    }
    accept(responder);
}

void ReviewWorker::hold(const Json &body, const HttpResponderPointer &responder)
{
    extendLease(body);
    const auto acknowledged = body.value("ackSeq", std::int64_t(0));
    std::erase_if(ended_, [acknowledged](const Json &row) { return row[0].get<std::int64_t>() <= acknowledged; });
    const Milliseconds wait(std::clamp<std::int64_t>(body.value("waitMs", std::int64_t(0)), 0, 2000));
    if (ended_.empty() && wait > Milliseconds(0)) {
        holds_.push_back({ responder, loop_.now() + wait, born_ });
        return;
    }
    responder->reply({ 200, makeReport(), {} });
}

std::string ReviewWorker::makeReport() const
{
    const auto now = loop_.now();
    Json running = Json::array();
    for (const auto &[key, run] : runs_) {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - run.startedAt);
        const auto whole = run.duration.value_or(startupTime);
        const int percent = static_cast<int>(
            std::min<std::int64_t>(elapsed * 100 / std::max(whole, Milliseconds(1)), run.duration ? 99 : 100));
        running.push_back(Json::array({ key.first, key.second, "", percent, 1 }));
    }
    Json finished = Json::array();
    for (std::size_t index = 0; index < std::min(ended_.size(), maxListedEnds); ++index) {
        finished.push_back(ended_[index]);
    }
    return Json { { "clockMs", clock().count() }, { "running", running }, { "finished", finished }, { "born", born_ } }.dump();
}

void ReviewWorker::endRun(const RunKey &key, const std::string &how)
{
    runs_.erase(key);
    auto &over = overAttempts_[key.first];
    over = std::max(over, key.second);
    ended_.push_back(Json::array({ nextEnd_++, key.first, key.second, how, "" }));
    hooks_.onOver(identity_.id, key, how);
}

void ReviewWorker::settle()
{
    const auto now = loop_.now();
    const auto lapsedAt = leaseEnd_ + killGrace_ / 2;
    std::vector<std::pair<RunKey, std::string>> over;
    for (const auto &[key, run] : runs_) {
        if (run.endsAt && *run.endsAt <= std::min(now, lapsedAt)) {
            over.emplace_back(key, run.end);
        } else if (lapsedAt <= now) {
            over.emplace_back(key, "lapsed");
        }
    }
    for (const auto &[key, how] : over) {
        endRun(key, how);
    }
    while (!holds_.empty() && (!ended_.empty() || holds_.front().until <= now)) {
        holds_.front().responder->reply({ 200, makeReport(), {} });
        holds_.pop_front();
    }
}

void ReviewWorker::tick()
{
    if (isUp_) {
        settle();
    }
    loop_.after(tickInterval, [this] { tick(); });
}

} // namespace auburndoor
