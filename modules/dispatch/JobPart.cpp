#include "dispatch/JobPart.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace auburndoor {

JobPart JobPart::of(const TaskName &task)
{
    return { task.occurrence, task.step, task.index / maxTasks * maxTasks };
}

std::string JobPart::key(const std::string &job) const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(firstTask);
}

std::optional<std::pair<std::string, JobPart>> JobPart::readKey(const std::string &key)
{
    const auto idLength = key.find('.');
    std::array<int, 3> numbers {};
    const char *position = key.data() + std::min(idLength, key.size());
    const char *end = key.data() + key.size();
    for (auto &number : numbers) {
        if (position == end || *position != '.') {
            return std::nullopt;
        }
        const auto read = std::from_chars(position + 1, end, number);
        if (read.ec != std::errc() || number < 0) {
            return std::nullopt;
        }
        position = read.ptr;
    }
    if (position != end || numbers[2] % maxTasks != 0) {
        return std::nullopt;
    }
    return std::pair(key.substr(0, idLength), JobPart { numbers[0], numbers[1], numbers[2] });
}

} // namespace auburndoor
