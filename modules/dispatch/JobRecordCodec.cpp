#include "dispatch/JobRecordCodec.h"

#include "core/BoundedJson.h"
#include "dispatch/JobPart.h"
#include "dispatch/TaskRecordCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <stdexcept>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

// Limits of what is read. They are not below those of any submission.
constexpr std::chrono::hours maxDuration { 24 * 366 };
constexpr std::int64_t maxTasksPerJob = 1'000'000;
constexpr int maxOccurrences = 10'000;
constexpr double maxSlackFactor = 1e6;

constexpr std::array allStages { JobStage::Recording, JobStage::Queued, JobStage::Running,
                                 JobStage::Completed, JobStage::Failed, JobStage::Cancelled };

/** Sets a key unless the value is the default; most steps set few values. */
template<typename Value>
void putUnlessDefault(Json &json, const char *key, const Value &value, const Value &defaultValue)
{
    if (value != defaultValue) {
        json[key] = value;
    }
}

Json stepJson(const StepSpec &step)
{
    Json json { { "tasks", step.taskCount } };
    putUnlessDefault(json, "cores", step.need.milliCores, std::int64_t(0));
    putUnlessDefault(json, "memory", step.need.memoryMiB, std::int64_t(0));
    putUnlessDefault(json, "accelerators", step.need.accelerators, std::int64_t(0));
    putUnlessDefault(json, "estimate", step.estimate.count(), Milliseconds::rep(0));
    putUnlessDefault(json, "after", step.dependsOn, std::vector<int>());
    putUnlessDefault(json, "gang", step.isGang, false);
    putUnlessDefault(json, "one-rack", step.prefersOneRack, false);
    putUnlessDefault(json, "saves", step.savesProgress, false);
    putUnlessDefault(json, "copies", step.allowsCopies, false);
    putUnlessDefault(json, "service", step.isService, false);
    putUnlessDefault(json, "fills", step.fillsIdleCapacity, false);
    putUnlessDefault(json, "label", step.requiredLabel, std::string());
    putUnlessDefault(json, "rack", step.dataRack, std::string());
    putUnlessDefault(json, "per-worker", step.maxTasksPerWorker, 0);
    putUnlessDefault(json, "image", step.image, std::string());
    putUnlessDefault(json, "latency", step.latencyTarget.count(), Milliseconds::rep(0));
    putUnlessDefault(json, "unavailable", step.maxUnavailable, -1);
    return json;
}

/** Reads an integer; defaultValue if it is absent. Throws std::out_of_range if it is no number, or no int64 or int as wanted. */
template<typename Integer>
Integer readNumber(const Json &json, const char *key, Integer defaultValue)
{
    const auto found = json.find(key);
    if (found == json.end()) {
        return defaultValue;
    }
    const auto number = toExactInteger(*found);
    if (!number || *number < std::numeric_limits<Integer>::min() || *number > std::numeric_limits<Integer>::max()) {
        throw std::out_of_range(key);
    }
    return static_cast<Integer>(*number);
}

Milliseconds readMilliseconds(const Json &json, const char *key)
{
    return Milliseconds(readNumber(json, key, std::int64_t(0)));
}

StepSpec readStep(const Json &json)
{
    StepSpec step;
    step.taskCount = readNumber(json, "tasks", 1);
    step.need.milliCores = readNumber(json, "cores", std::int64_t(0));
    step.need.memoryMiB = readNumber(json, "memory", std::int64_t(0));
    step.need.accelerators = readNumber(json, "accelerators", std::int64_t(0));
    step.estimate = readMilliseconds(json, "estimate");
    step.dependsOn = json.value("after", std::vector<int>());
    step.isGang = json.value("gang", false);
    step.prefersOneRack = json.value("one-rack", false);
    step.savesProgress = json.value("saves", false);
    step.allowsCopies = json.value("copies", false);
    step.isService = json.value("service", false);
    step.fillsIdleCapacity = json.value("fills", false);
    step.requiredLabel = json.value("label", std::string());
    step.dataRack = json.value("rack", std::string());
    step.maxTasksPerWorker = readNumber(json, "per-worker", 0);
    step.image = json.value("image", std::string());
    step.latencyTarget = readMilliseconds(json, "latency");
    step.maxUnavailable = readNumber(json, "unavailable", -1);
    return step;
}

/** Decision time, time for each worker and validity of a permit, in milliseconds. */
Json adviceJson(const AdvicePolicy &policy)
{
    return Json::array({ policy.decisionTime.count(), policy.timePerWorker.count(), policy.permitValidity.count() });
}

/** Reads what adviceJson() has returned; throws if it is malformed. */
AdvicePolicy readAdvice(const Json &json)
{
    const auto readTime = [&json](std::size_t index) {
        const auto limit = std::chrono::duration<double, std::milli>(maxDuration).count();
        return std::chrono::duration<double, std::milli>(std::clamp(json.at(index).get<double>(), 0.0, limit));
    };
    return { readTime(0), readTime(1), std::chrono::duration_cast<Milliseconds>(readTime(2)) };
}

bool isUsableDuration(Milliseconds duration)
{
    return duration >= Milliseconds(0) && duration <= maxDuration;
}

/** True if a process bears the sizes and times of the job, as every submission was checked for. */
bool isUsable(const JobState &job)
{
    const auto &spec = job.spec;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const auto &step = spec.steps[index];
        const auto isEarlier = [index](int other) { return other >= 0 && static_cast<std::size_t>(other) < index; };
        if (step.taskCount < 1 || !step.need.isValid() || !isUsableDuration(step.estimate) || !isUsableDuration(step.latencyTarget)
            || !std::all_of(step.dependsOn.begin(), step.dependsOn.end(), isEarlier)) {
            return false;
        }
    }
    return !spec.steps.empty() && spec.taskCount() <= maxTasksPerJob && spec.occurrences >= 1 && spec.occurrences <= maxOccurrences
           && isUsableDuration(spec.interval) && isUsableDuration(job.queue.latencyAllowance) && job.queue.slackFactor >= 0
           && job.queue.slackFactor <= maxSlackFactor;
}

void readOccurrence(const Json &json, OccurrenceState &occurrence)
{
    for (std::size_t index = 0; index < std::min(json.size(), occurrence.steps.size()); ++index) {
        auto &step = occurrence.steps[index];
        const auto &tasks = json[index];
        for (std::size_t task = 0; task < std::min(tasks.size(), step.tasks.size()); ++task) {
            TaskRecordCodec::read(tasks[task], step.tasks[task]);
        }
        step.countDoneTasks();
    }
}

/** The numbers of the occurrences that are done; each range of many as an array of its first and last one. */
Json doneOccurrencesJson(const std::set<int> &numbers)
{
    // Owners of earlier releases read single numbers only.
    constexpr std::size_t maxSingleNumbers = 1000;
    if (numbers.size() <= maxSingleNumbers) {
        return numbers;
    }
    Json json = Json::array();
    for (auto first = numbers.begin(); first != numbers.end();) {
        auto last = first;
        auto next = std::next(first);
        while (next != numbers.end() && *next == *last + 1) {
            last = next++;
        }
        json.push_back(Json::array({ *first, *last }));
        first = next;
    }
    return json;
}

/** Reads what doneOccurrencesJson() has returned. @param count the number of occurrences of the job */
std::set<int> readDoneOccurrences(const Json &json, int count)
{
    std::set<int> numbers;
    for (const auto &item : json) {
        const int first = std::max(item.is_array() ? item.at(0).get<int>() : item.get<int>(), 0);
        const int last = std::min(item.is_array() ? item.at(1).get<int>() : first, count - 1);
        for (int number = first; number <= last; ++number) {
            numbers.insert(number);
        }
    }
    return numbers;
}

} // namespace

std::string JobRecordCodec::description(const JobState &job)
{
    Json steps = Json::array();
    for (const auto &step : job.spec.steps) {
        steps.push_back(stepJson(step));
    }
    Json json { { "queue", job.spec.queue },
                { "service", job.queue.service },
                { "priority", job.queue.priority },
                { "attempts", job.queue.maxAttempts },
                { "slack", job.queue.slackFactor },
                { "allowance", job.queue.latencyAllowance.count() },
                { "accepted", job.acceptedAt.count() },
                { "payload", job.spec.payload },
                { "steps", std::move(steps) } };
    if (job.queue.advice) {
        json["advice"] = adviceJson(*job.queue.advice);
    }
    putUnlessDefault(json, "account", job.spec.account, std::string());
    if (job.spec.isScheduled) {
        json["occurrences"] = job.spec.occurrences;
        json["first"] = job.spec.firstDue.count();
        json["interval"] = job.spec.interval.count();
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool JobRecordCodec::readDescription(const std::string &text, JobState &job)
{
    const auto json = parseBoundedJson(text);
    if (!json.is_object() || !json.contains("steps")) {
        return false;
    }
    try {
        job.spec.queue = json.at("queue").get<std::string>();
        job.spec.payload = json.at("payload").get<std::string>();
        job.spec.account = json.value("account", std::string());
        for (const auto &step : json.at("steps")) {
            job.spec.steps.push_back(readStep(step));
        }
        job.spec.isScheduled = json.contains("occurrences");
        job.spec.occurrences = readNumber(json, "occurrences", 1);
        job.spec.firstDue = readMilliseconds(json, "first");
        job.spec.interval = readMilliseconds(json, "interval");
        job.acceptedAt = readMilliseconds(json, "accepted");
        job.queue.name = job.spec.queue;
        job.queue.service = json.at("service").get<std::string>();
        job.services[job.queue.service] = true;
        job.queue.priority = readNumber(json, "priority", 0);
        job.queue.maxAttempts = readNumber(json, "attempts", 1);
        job.queue.slackFactor = json.value("slack", 1.0);
        job.queue.latencyAllowance = readMilliseconds(json, "allowance");
        if (const auto advice = json.find("advice"); advice != json.end()) {
            job.queue.advice = readAdvice(*advice);
        }
        return isUsable(job);
    } catch (const std::exception &) {
        return false;
    }
}

std::string JobRecordCodec::progress(const JobState &job, RecordDetail detail)
{
    Json json { { "stage", name(job.stage) } };
    if (isEnded(job.stage)) {
        json["ended"] = job.endedAt.count();
        putUnlessDefault(json, "account", job.spec.account, std::string());
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    json["begun"] = job.hasBegun;
    json["next"] = job.nextOccurrence;
    json["finished"] = doneOccurrencesJson(job.doneOccurrences);
    // The description holds the first service, and most queues never move.
    if (job.services.size() > 1) {
        for (const auto &[service, isStored] : job.services) {
            json["services"].push_back(service);
        }
    }
    Json occurrences = Json::object();
    if (!job.isWide()) {
        for (const auto &[number, occurrence] : job.occurrences) {
            Json steps = Json::array();
            for (const auto &step : occurrence.steps) {
                Json tasks = Json::array();
                for (const auto &task : step.tasks) {
                    tasks.push_back(TaskRecordCodec::write(task, detail));
                }
                steps.push_back(std::move(tasks));
            }
            occurrences[std::to_string(number)] = std::move(steps);
        }
    }
    json["occurrences"] = std::move(occurrences);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool JobRecordCodec::readProgress(const std::string &text, JobState &job, TimePoint now)
{
    const auto stored = stageOf(text);
    if (!stored) {
        return false;
    }
    job.stage = stored->stage;
    job.endedAt = stored->endedAt;
    if (isEnded(job.stage)) {
        return true;
    }
    try {
        const auto json = parseBoundedJson(text);
        job.hasBegun = json.value("begun", false);
        if (const auto finished = json.find("finished"); finished != json.end()) {
            job.doneOccurrences = readDoneOccurrences(*finished, job.spec.occurrences);
        }
        for (const auto &service : json.value("services", std::vector<std::string>())) {
            job.services[service] = true;
        }
        for (const auto &[key, steps] : json.at("occurrences").items()) {
            const int number = std::stoi(key);
            if (number >= 0 && number < job.spec.occurrences && !job.doneOccurrences.contains(number)) {
                job.addOccurrence(number, now);
                readOccurrence(steps, job.occurrences.at(number));
            }
        }
        job.nextOccurrence = std::clamp(readNumber(json, "next", 0), 0, job.spec.occurrences);
    } catch (const std::exception &) {
        return false;
    }
    return true;
}

std::string JobRecordCodec::part(const StepState &step, int firstTask, RecordDetail detail)
{
    Json tasks = Json::array();
    const auto end = std::min(step.tasks.size(), static_cast<std::size_t>(firstTask) + JobPart::maxTasks);
    for (auto index = static_cast<std::size_t>(firstTask); index < end; ++index) {
        tasks.push_back(TaskRecordCodec::write(step.tasks[index], detail));
    }
    return Json { { "tasks", std::move(tasks) } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool JobRecordCodec::readPart(const std::string &text, int firstTask, StepState &step)
{
    const auto json = parseBoundedJson(text);
    if (!json.is_object() || !json.contains("tasks") || !json["tasks"].is_array()) {
        return false;
    }
    const auto &tasks = json["tasks"];
    bool isValid = true;
    for (std::size_t offset = 0; offset < tasks.size(); ++offset) {
        const auto index = static_cast<std::size_t>(firstTask) + offset;
        isValid = index < step.tasks.size() && TaskRecordCodec::read(tasks[offset], step.tasks[index]) && isValid;
    }
    step.countDoneTasks();
    return isValid;
}

std::optional<StoredStage> JobRecordCodec::stageOf(const std::string &text)
{
    const auto json = parseBoundedJson(text);
    if (!json.is_object() || !json.contains("stage") || !json["stage"].is_string()) {
        return std::nullopt;
    }
    const auto stageName = json["stage"].get<std::string>();
    const auto found = std::find_if(allStages.begin(), allStages.end(), [&](JobStage stage) { return name(stage) == stageName; });
    if (found == allStages.end()) {
        return std::nullopt;
    }
    StoredStage stored;
    stored.stage = *found;
    if (const auto ended = json.find("ended"); ended != json.end()) {
        stored.endedAt = Milliseconds(toExactInteger(*ended).value_or(0));
    }
    if (const auto account = json.find("account"); account != json.end() && account->is_string()) {
        stored.account = account->get<std::string>();
    }
    return stored;
}

} // namespace auburndoor
