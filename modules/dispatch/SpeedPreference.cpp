#include "dispatch/SpeedPreference.h"

#include "dispatch/JobState.h"

namespace auburndoor {

namespace {

// From the choice of a worker to the start of the task there, and from its end to the report of it.
constexpr Milliseconds startAndReportTime { 150 };
// No worker is so much faster than usual.
constexpr double maxSpeed = 2.5;
// Work that may run at this share of the usual speed has much slack, and work that needs this share of it has little.
constexpr double slackSpeed = 0.35;
constexpr double tightSpeed = 0.7;
// The workers of a kind differ by about half of the usual speed; the dominant share left free differs by up to 1.
constexpr double speedWeight = 0.5;

} // namespace

SpeedPreference SpeedPreference::of(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    const auto occurrence = job.occurrences.find(step.occurrence);
    if (step.spec().isService || occurrence == job.occurrences.end()) {
        return {};
    }
    const auto stepTime = job.expectedTime(static_cast<std::size_t>(step.index));
    const auto laterTime = job.remainingPathTime(occurrence->second) - stepTime;
    const auto timeLeft = job.objectiveOf(step.occurrence) - now - laterTime - startAndReportTime;
    if (timeLeft <= Milliseconds(0) || stepTime <= Milliseconds(0)) {
        return {};
    }
    const double minSpeed = std::chrono::duration<double>(stepTime) / std::chrono::duration<double>(timeLeft);
    if (minSpeed > maxSpeed) {
        return {};
    }
    const double weight = minSpeed < slackSpeed ? speedWeight : minSpeed > tightSpeed ? -speedWeight : 0.0;
    return { minSpeed, weight };
}

} // namespace auburndoor
