#include "dispatch/RunForecast.h"

#include "dispatch/Run.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A stop frees the worker within half a second; the rest is the choice of another worker and the start there.
constexpr Milliseconds moveTime { 800 };
// Forecasts are rough, and a move discards what was done since the last checkpoint.
constexpr double minGain = 1.5;
// Less progress than this tells little of the time that the rest takes.
constexpr int minPercent = 5;
// A worker has turned slow during a run if its speed is below this share of what it was at the start.
constexpr double turnedSlowShare = 0.7;

Milliseconds scale(Milliseconds time, double factor)
{
    return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

bool RunForecast::gainsByMove(Milliseconds timeLeft, double speed) const
{
    const auto elsewhere = scale(remainingElsewhere - moveTime, 1 / speed) + moveTime;
    return remainingHere > timeLeft && elsewhere <= timeLeft && scale(elsewhere, minGain) <= remainingHere;
}

RunForecast RunForecast::of(const Run &run, Milliseconds expected, double speed, bool hasCheckpoint, TimePoint now)
{
    const auto sinceReport = std::chrono::duration_cast<Milliseconds>(now - run.percentChangedAt);
    const double shareLeft = (100 - run.percent) / 100.0;
    const bool hasProgress = run.isMeasurable && run.percent >= minPercent && run.percentChangedAt > run.confirmedAt;
    Milliseconds here { 0 };
    if (hasProgress) {
        const auto untilReport = std::chrono::duration_cast<Milliseconds>(run.percentChangedAt - run.confirmedAt);
        here = untilReport * (100 - run.percent) / run.percent - sinceReport;
    }
    if (!hasProgress || speed < run.startSpeed * turnedSlowShare) {
        here = std::max(here, scale(expected, shareLeft / speed) - sinceReport);
    }
    return { std::max(here, Milliseconds(0)), scale(expected, hasCheckpoint ? shareLeft : 1.0) + moveTime };
}

} // namespace auburndoor
