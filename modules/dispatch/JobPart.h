#pragma once

#include "workload/JobSpec.h"

#include <optional>
#include <string>
#include <utility>

namespace auburndoor {

/**
    A range of the tasks of one step, whose progress is a row of its own in the store.

    The progress of a wide job does not fit into one row. Each of its steps has a part for every maxTasks tasks.
*/
struct JobPart
{
    /** The tasks in one row, so that the row fits with several failures and a checkpoint for each task. */
    static constexpr int maxTasks = 200;

    int occurrence = 0;
    int step = 0;
    /** The index of its first task; a multiple of maxTasks. */
    int firstTask = 0;

    // clang-tidy 14 takes the zero in the generated comparison for a null pointer.
    auto operator<=>(const JobPart &other) const = default; // NOLINT(modernize-use-nullptr)

    /** The part that holds a task. */
    static JobPart of(const TaskName &task);
    /** The key of its row: the job's id and the three numbers, separated by dots. */
    std::string key(const std::string &job) const;
    /** Reads a key. @return the id of the job, and its part; empty if the text is not such a key */
    static std::optional<std::pair<std::string, JobPart>> readKey(const std::string &key);
};

} // namespace auburndoor
