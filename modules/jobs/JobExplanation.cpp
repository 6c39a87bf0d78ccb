#include "jobs/JobExplanation.h"

#include <algorithm>

namespace auburndoor {

JobExplanation explainRecord(const Job &job)
{
    JobExplanation explanation;
    explanation.phase = job.phase;
    explanation.summary = std::string(name(job.phase));
    if (!job.reason.empty()) {
        explanation.summary += " (" + job.reason + ")";
    }
    for (const auto phase : { TaskPhase::Waiting, TaskPhase::Assigned, TaskPhase::Done, TaskPhase::Cancelled }) {
        const auto count = std::count_if(job.tasks.begin(), job.tasks.end(), [&](const auto &task) { return task.phase == phase; });
        if (count > 0) {
            explanation.summary += ", " + std::to_string(count) + " " + std::string(name(phase));
        }
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const auto &task = job.tasks[index];
        auto line = "task " + std::to_string(index) + ": " + std::string(name(task.phase));
        if (task.assignments > 0) {
            line += task.phase == TaskPhase::Waiting ? ", last on " : " on ";
            line += task.worker.text() + ", assignment " + std::to_string(task.assignments);
        }
        if (task.failures > 0) {
            line += ", " + std::to_string(task.failures) + " of " + std::to_string(job.declaration.maximumAttempts)
                    + " attempts failed, last: " + task.answer;
        }
        explanation.tasks.push_back(line);
    }
    return explanation;
}

} // namespace auburndoor
