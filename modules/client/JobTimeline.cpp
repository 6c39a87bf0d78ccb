#include "client/JobStory.h"

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

/** The fields that are not common to all lines, as "name=value". */
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

bool namesJob(const nlohmann::json &line, const std::string &job)
{
    return std::any_of(line.begin(), line.end(), [&job](const auto &value) {
        return value.is_string() && value.template get_ref<const std::string &>().find(job) != std::string::npos;
    });
}

} // namespace

JobStory::JobStory(std::string job) : job_(std::move(job))
{
}

void JobStory::read(std::istream &log)
{
    for (std::string text; std::getline(log, text);) {
        if (text.empty()) {
            continue;
        }
        const auto line = nlohmann::json::parse(text, nullptr, false);
        const bool isLogLine = line.is_object() && line.contains("t") && line["t"].is_number() && line.contains("wall")
                               && line["wall"].is_number() && line.contains("process") && line["process"].is_string()
                               && line.contains("event") && line["event"].is_string();
        if (!isLogLine) {
            ++unreadable_;
            continue;
        }
        const auto process = line["process"].get<std::string>();
        const auto steadyTime = line["t"].get<std::int64_t>();
        offsets_[process].push_back(line["wall"].get<std::int64_t>() - steadyTime);
        if (namesJob(line, job_)) {
            events_.push_back({ process, steadyTime, line["event"], detailsOf(line, job_) });
        }
    }
}

bool JobStory::isEmpty() const
{
    return events_.empty();
}

std::vector<JobStory::TimedEvent> JobStory::ordered() const
{
    std::map<std::string, std::int64_t> offsets;
    for (const auto &[process, values] : offsets_) {
        offsets[process] = median(values);
    }
    std::vector<TimedEvent> events;
    for (const auto &event : events_) {
        events.push_back({ event.steadyTime + offsets.at(event.process), &event });
    }
    std::stable_sort(events.begin(), events.end(), [](const auto &left, const auto &right) { return left.at < right.at; });
    const auto first = events.empty() ? 0 : events.front().at;
    for (auto &event : events) {
        event.at -= first;
    }
    return events;
}

std::size_t JobStory::longestWait(const std::vector<TimedEvent> &events)
{
    std::size_t longest = 0;
    for (std::size_t index = 1; index < events.size(); ++index) {
        if (longest == 0 || events[index].at - events[index - 1].at > events[longest].at - events[longest - 1].at) {
            longest = index;
        }
    }
    return longest;
}

std::string JobStory::text() const
{
    constexpr std::size_t timeWidth = 8;
    const auto events = ordered();
    const auto longest = longestWait(events);
    std::string result;
    for (std::size_t index = 0; index < events.size(); ++index) {
        const auto &[at, event] = events[index];
        auto time = std::to_string(at);
        time.insert(0, timeWidth - std::min(timeWidth, time.size()), ' ');
        result += time + " ms  " + event->process + "  " + event->name + "  " + event->details;
        if (index == longest && index > 0) {
            result += "  <- longest wait, " + std::to_string(at - events[index - 1].at) + " ms";
        }
        result += "\n";
    }
    return result;
}

std::string JobStory::json() const
{
    auto list = nlohmann::json::array();
    for (const auto &[at, event] : ordered()) {
        list.push_back({ { "atMs", at }, { "process", event->process }, { "event", event->name }, { "details", event->details } });
    }
    return list.dump() + "\n";
}

} // namespace auburndoor
