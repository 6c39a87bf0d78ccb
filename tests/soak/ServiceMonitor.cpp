#include "soak/ServiceMonitor.h"

#include "JobCodec.h"
#include "fakes/JobIds.h"
#include "soak/ProcessCell.h"

#include <algorithm>
#include <set>

namespace auburndoor {

namespace {

constexpr int serviceTasks = 6;
constexpr int serviceJobNumber = 1;
constexpr int firstShortJobNumber = 1000;
// Of the checks, every second asks for the service's state, and every fifth submits a job.
constexpr int checksPerQuery = 2;
constexpr int checksPerSubmission = 5;
constexpr Milliseconds checkInterval { 50 };
constexpr Milliseconds queryTimeout { 3000 };
// A process that has just been started may take this long to open its listener.
constexpr Milliseconds startAllowance { 1000 };

/** A time without something that is expected. */
struct Absence
{
    TimePoint lastSeenAt;
    bool isReported = false;
};

/** The times since a process last served calls of each kind. */
struct CallAbsences
{
    Absence query;
    Absence submission;
};

WebRequest makeRequest(const std::string &method, int jobNumber, const std::string &body)
{
    return { method,
             "/jobs/" + jobIdOf(jobNumber),
             { { "Host", "cell.example" }, { "Deadline-Ms", std::to_string(queryTimeout.count()) } },
             body };
}

Milliseconds since(TimePoint from, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - from);
}

} // namespace

struct ServiceMonitor::Impl : std::enable_shared_from_this<ServiceMonitor::Impl>
{
    explicit Impl(ProcessCell &cell) : cell(cell)
    {
        for (const auto &entry : cell.entries) {
            channels.push_back(
                std::make_unique<HttpChannels>(cell.loop, entry->clientAddress(), HttpChannelLimits { .maxConnections = 8 }));
        }
        answers.resize(cell.entries.size());
    }

    std::set<TaskName> runningTasks();
    void check();
    void checkTasks();
    void checkCallers();
    void query(std::size_t process);
    void submit(std::size_t process);
    /** Notes that a process has served a call now. */
    void noteAnswer(Absence &absence);
    /** Notes how long something has been absent, and a violation the first time that it is over the bound. */
    void note(Absence &absence, Milliseconds bound, Milliseconds &longest, const std::string &text);

    ProcessCell &cell;
    std::vector<std::unique_ptr<HttpChannels>> channels;
    std::map<TaskName, Absence> tasks;
    /** By process. */
    std::vector<CallAbsences> answers;
    int lastShortJob = firstShortJobNumber;
    Milliseconds longestWithoutRun { 0 };
    Milliseconds longestWithoutAnswer { 0 };
    std::vector<std::string> violations;
    bool areSubmissionsExpected = true;
    int checks = 0;
    bool isClosed = false;
};

std::set<TaskName> ServiceMonitor::Impl::runningTasks()
{
    std::set<TaskName> running;
    for (const auto &[id, worker] : cell.platform.fleet.workers()) {
        worker->settle();
        for (const auto &[key, run] : worker->runs()) {
            if (key.first.job == jobIdOf(serviceJobNumber)) {
                running.insert(key.first);
            }
        }
    }
    return running;
}

void ServiceMonitor::Impl::note(Absence &absence, Milliseconds bound, Milliseconds &longest, const std::string &text)
{
    const auto duration = since(absence.lastSeenAt, cell.loop.now());
    longest = std::max(longest, duration);
    if (duration > bound && !std::exchange(absence.isReported, true)) {
        violations.push_back(text + " for over " + std::to_string(bound.count()) + " ms");
        cell.record("monitor", violations.back());
    }
}

void ServiceMonitor::Impl::checkTasks()
{
    const auto running = runningTasks();
    for (auto &[task, absence] : tasks) {
        if (running.contains(task)) {
            absence = { cell.loop.now(), false };
        } else {
            note(absence, maxTimeWithoutRun, longestWithoutRun, platform::taskText(task) + " has had no run");
        }
    }
}

void ServiceMonitor::Impl::checkCallers()
{
    for (std::size_t process = 0; process < cell.entries.size(); ++process) {
        const auto &entry = *cell.entries[process];
        if (!entry.isRunning() || entry.isStopping() || entry.isPaused()) {
            const Absence fromStart { cell.loop.now() + startAllowance, false };
            answers[process] = { fromStart, fromStart };
            continue;
        }
        auto &[queryAbsence, submissionAbsence] = answers[process];
        note(queryAbsence, maxTimeWithoutAnswer, longestWithoutAnswer, entry.name() + " has answered no query");
        if (!areSubmissionsExpected) {
            submissionAbsence = { cell.loop.now(), false };
        }
        note(submissionAbsence, maxTimeWithoutAnswer, longestWithoutAnswer, entry.name() + " has accepted no submission");
        if (checks % checksPerQuery == 0) {
            query(process);
        }
        if (checks % checksPerSubmission == 0) {
            submit(process);
        }
    }
}

void ServiceMonitor::Impl::noteAnswer(Absence &absence)
{
    if (absence.lastSeenAt < cell.loop.now()) {
        absence = { cell.loop.now(), false };
    }
}

void ServiceMonitor::Impl::query(std::size_t process)
{
    channels[process]->send(
        makeRequest("GET", serviceJobNumber, {}), queryTimeout, [self = shared_from_this(), process](const SendResult &sent) {
            if (sent.hasStatus(200)) {
                self->noteAnswer(self->answers[process].query);
            }
        });
}

void ServiceMonitor::Impl::submit(std::size_t process)
{
    const std::string body = R"({"spec":"p","taskGroups":[{"count":1,"cpu":500,"memMb":1,"estimateMs":100}]})";
    std::string error;
    const int number = ++lastShortJob;
    cell.platform.checker.addJob(jobIdOf(number), platform::readJob(body, error).value());
    channels[process]->send(
        makeRequest("POST", number, body), queryTimeout, [self = shared_from_this(), process](const SendResult &sent) {
            if (sent.hasStatus(200)) {
                self->noteAnswer(self->answers[process].submission);
            }
        });
}

void ServiceMonitor::Impl::check()
{
    if (isClosed) {
        return;
    }
    ++checks;
    checkTasks();
    checkCallers();
    cell.loop.after(checkInterval, [self = shared_from_this()] { self->check(); });
}

ServiceMonitor::ServiceMonitor(ProcessCell &cell) : impl_(std::make_shared<Impl>(cell))
{
}

ServiceMonitor::~ServiceMonitor()
{
    impl_->isClosed = true;
}

SimulatedWork ServiceMonitor::planWork(const TaskName &task)
{
    constexpr Milliseconds shortDuration { 100 };
    const bool lasts = task.job == jobIdOf(serviceJobNumber);
    return { lasts ? Milliseconds(std::chrono::hours(1)) : shortDuration, RunOutcome::Done };
}

bool ServiceMonitor::startServices()
{
    constexpr Milliseconds startLimit { 10000 };
    constexpr Milliseconds submitInterval { 500 };
    const auto body = R"({"spec":"p","taskGroups":[{"count":)" + std::to_string(serviceTasks)
                      + R"(,"cpu":500,"memMb":1,"estimateMs":400,"longRunning":true}]})";
    std::string error;
    impl_->cell.platform.checker.addJob(jobIdOf(serviceJobNumber), platform::readJob(body, error).value());
    auto nextSubmission = impl_->cell.loop.now();
    const bool areRunning = impl_->cell.runUntil(
        [&] {
            if (impl_->cell.loop.now() >= nextSubmission) {
                nextSubmission = impl_->cell.loop.now() + submitInterval;
                impl_->channels.front()->send(makeRequest("POST", serviceJobNumber, body), queryTimeout, [](const SendResult &) {});
            }
            return impl_->runningTasks().size() == serviceTasks;
        },
        startLimit);
    for (const auto &task : impl_->runningTasks()) {
        impl_->tasks[task] = { impl_->cell.loop.now(), false };
    }
    return areRunning;
}

void ServiceMonitor::start()
{
    const Absence fromNow { impl_->cell.loop.now(), false };
    std::fill(impl_->answers.begin(), impl_->answers.end(), CallAbsences { fromNow, fromNow });
    impl_->check();
}

void ServiceMonitor::expectSubmissions(bool areExpected)
{
    impl_->areSubmissionsExpected = areExpected;
}

std::vector<std::string> ServiceMonitor::violations() const
{
    return impl_->violations;
}

Milliseconds ServiceMonitor::longestTimeWithoutRun() const
{
    return impl_->longestWithoutRun;
}

Milliseconds ServiceMonitor::longestTimeWithoutAnswer() const
{
    return impl_->longestWithoutAnswer;
}

} // namespace auburndoor
