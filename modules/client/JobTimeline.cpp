#include "client/JobTimeline.h"

#include "core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <istream>

namespace auburndoor {

namespace {

std::int64_t median(std::vector<std::int64_t> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/** Returns the fields of an event as "name=value", without those that all log lines have and those that equal the job. */
std::string detailsOf(const nlohmann::json &line, const std::string &job)
{
    std::string details;
    for (const auto &[name, value] : line.items()) {
        if (name == "t" || name == "wall" || name == "process" || name == "event" || value == job) {
            continue;
        }
        details += (details.empty() ? "" : " ") + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return details;
}

/** True if the text names the job, and not only a task of it other than the one wanted. @param task empty for all tasks */
bool namesJobOrTask(const std::string &text, const std::string &job, const std::string &task)
{
    for (auto at = text.find(job); at != std::string::npos; at = text.find(job, at + 1)) {
        auto end = std::min(text.size(), text.find_first_not_of("0123456789.", at + job.size()));
        // A full stop ends a sentence, not a name.
        while (end > at + job.size() && text[end - 1] == '.') {
            --end;
        }
        const bool isTaskName = end > at + job.size() && text[at + job.size()] == '.';
        if (task.empty() || !isTaskName || text.substr(at, end - at) == task) {
            return true;
        }
    }
    return false;
}

bool isNamedIn(const nlohmann::json &line, const std::string &job, const std::string &task)
{
    return std::any_of(line.begin(), line.end(), [&](const auto &value) {
        return value.is_string() && namesJobOrTask(value.template get_ref<const std::string &>(), job, task);
    });
}

} // namespace

JobTimeline::JobTimeline(const std::string &name) : job_(name.substr(0, name.find('.'))), task_(name == job_ ? std::string() : name)
{
}

void JobTimeline::read(std::istream &log)
{
    for (std::string text; std::getline(log, text);) {
        if (text.empty()) {
            continue;
        }
        const auto line = parseBoundedJson(text);
        const bool isLogLine = line.is_object() && line.contains("t") && line["t"].is_number() && line.contains("wall")
                               && line["wall"].is_number() && line.contains("process") && line["process"].is_string()
                               && line.contains("event") && line["event"].is_string();
        if (!isLogLine) {
            ++unreadableCount_;
            continue;
        }
        const auto process = line["process"].get<std::string>();
        const auto steadyTime = line["t"].get<std::int64_t>();
        clockOffsets_[process].push_back(line["wall"].get<std::int64_t>() - steadyTime);
        if (isNamedIn(line, job_, task_)) {
            events_.push_back({ process, steadyTime, line["event"], detailsOf(line, job_) });
        }
    }
}

bool JobTimeline::isEmpty() const
{
    return events_.empty();
}

std::vector<JobTimeline::TimedEvent> JobTimeline::orderEvents() const
{
    std::map<std::string, std::int64_t> offsets;
    for (const auto &[process, values] : clockOffsets_) {
        offsets[process] = median(values);
    }
    std::vector<TimedEvent> events;
    for (const auto &event : events_) {
        events.push_back({ event.steadyTime + offsets.at(event.process), &event });
    }
    std::stable_sort(events.begin(), events.end(), [](const auto &left, const auto &right) { return left.timeMs < right.timeMs; });
    const auto first = events.empty() ? 0 : events.front().timeMs;
    for (auto &event : events) {
        event.timeMs -= first;
    }
    return events;
}

std::size_t JobTimeline::findLongestWait(const std::vector<TimedEvent> &events)
{
    std::size_t longest = 0;
    for (std::size_t index = 1; index < events.size(); ++index) {
        if (longest == 0 || events[index].timeMs - events[index - 1].timeMs > events[longest].timeMs - events[longest - 1].timeMs) {
            longest = index;
        }
    }
    return longest;
}

std::string JobTimeline::text() const
{
    constexpr std::size_t timeWidth = 8;
    const auto events = orderEvents();
    const auto longest = findLongestWait(events);
    std::string result;
    for (std::size_t index = 0; index < events.size(); ++index) {
        const auto &[timeMs, event] = events[index];
        auto time = std::to_string(timeMs);
        time.insert(0, timeWidth - std::min(timeWidth, time.size()), ' ');
        result += time + " ms  " + event->process + "  " + event->name + "  " + event->details;
        if (index == longest && index > 0) {
            result += "  <- longest wait, " + std::to_string(timeMs - events[index - 1].timeMs) + " ms";
        }
        result += "\n";
    }
    return result;
}

std::string JobTimeline::json() const
{
    auto list = nlohmann::json::array();
    for (const auto &[timeMs, event] : orderEvents()) {
        list.push_back(
            { { "atMs", timeMs }, { "process", event->process }, { "event", event->name }, { "details", event->details } });
    }
    return list.dump() + "\n";
}

} // namespace auburndoor
