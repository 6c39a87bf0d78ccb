#pragma once

#include "dispatch/JobState.h"

#include <nlohmann/json_fwd.hpp>

namespace auburndoor {

/**
    How much of its tasks a record of progress holds.

    What is left out only costs work after a takeover: a task starts from its beginning, or crashes under it are forgotten. What has
    been done, the attempts and the failures are always there.
*/
enum class RecordDetail {
    Full,
    /** Without long checkpoints. */
    ShortCheckpoints,
    /** Without checkpoints and without crashes of workers. */
    Essential,
};

/** Converts the progress of a task to and from a JSON array: done, last attempt, failed attempts, then what not every task has. */
class TaskRecordCodec
{
public:
    static nlohmann::json write(const Task &task, RecordDetail detail);
    /** Reads what write() has returned. @return false, with the task unchanged, if it cannot be read */
    static bool read(const nlohmann::json &json, Task &task);
};

} // namespace auburndoor
