#include "dispatch/SpeedPreference.h"

#include "dispatch/JobState.h"

#include <algorithm>

namespace auburndoor {

namespace {

// From the choice of a worker to the start of the task there, and from its end to the report of it.
constexpr Milliseconds startAndReportTime { 150 };
// A step lasts as long as its slowest task. Run times vary by a tenth or more, so that of ten tasks one takes about this multiple.
constexpr double slowestTaskFactor = 1.25;
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
    // Later steps need slack as well, so all remaining steps are taken to run at one speed.
    const auto pathTime = std::max(job.remainingPathTime(occurrence->second), stepTime);
    const int stepsLeft = pathTime > stepTime ? 2 : 1;
    const auto timeLeft = job.objectiveOf(step.occurrence) - now - startAndReportTime * stepsLeft;
    if (timeLeft <= Milliseconds(0) || stepTime <= Milliseconds(0)) {
        return {};
    }
    const double minSpeed = slowestTaskFactor * (std::chrono::duration<double>(pathTime) / std::chrono::duration<double>(timeLeft));
    if (minSpeed > maxSpeed) {
        return {};
    }
    const double weight = minSpeed < slackSpeed ? speedWeight : minSpeed > tightSpeed ? -speedWeight : 0.0;
    return { minSpeed, weight };
}

} // namespace auburndoor
