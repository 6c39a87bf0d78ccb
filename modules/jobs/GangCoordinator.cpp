#include "jobs/GangCoordinator.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "jobs/JobDecisions.h"

namespace auburndoor {

GangAttempt::GangAttempt(OwnerGateway &gateway, const HoldRequest &request)
    : gateway_(gateway), request_(request), instances_(gateway.instances())
{
}

GangAttempt::State GangAttempt::askNextInstance()
{
    const auto wantedCount = static_cast<std::size_t>(request_.count);
    if (nextInstance_ < instances_.size() && places_.size() < wantedCount) {
        auto request = request_;
        request.count = static_cast<int>(wantedCount - places_.size());
        for (auto &place : gateway_.hold(instances_[nextInstance_], request)) {
            places_.push_back(std::move(place));
        }
        ++nextInstance_;
    }
    if (places_.size() >= wantedCount) {
        return State::Complete;
    }
    if (nextInstance_ < instances_.size()) {
        return State::Asking;
    }
    releasePlaces();
    return State::Failed;
}

void GangAttempt::releasePlaces()
{
    gateway_.release(places_);
    places_.clear();
}

const std::vector<HeldPlace> &GangAttempt::places() const
{
    return places_;
}

GangCoordinator::GangCoordinator(OwnerGateway &gateway, Clock &clock) : gateway_(gateway), clock_(clock)
{
}

std::optional<std::vector<HeldPlace>> GangCoordinator::acquire(const HoldRequest &request, Failure &failure)
{
    // The other half of the time limit remains for saving the assignments and starting the tasks.
    const auto deadline = clock_.now() + request.timeLimit / 2;
    GangAttempt attempt(gateway_, request);
    auto state = GangAttempt::State::Asking;
    while (state == GangAttempt::State::Asking && clock_.now() < deadline) {
        state = attempt.askNextInstance();
    }
    if (state == GangAttempt::State::Complete && clock_.now() < deadline) {
        return attempt.places();
    }
    attempt.releasePlaces();
    failure = {
        FailureStep::Reserve, {}, FailureReason::NoCapacity, "no room for all " + std::to_string(request.count) + " tasks at once"
    };
    return std::nullopt;
}

Milliseconds GangCoordinator::chooseRetryDelay(Priority priority, int attempt)
{
    const auto limit = calculateRetryDelayLimit(priority, attempt);
    // Between 10% and 110% of the limit, so that two competing gangs soon try at different times.
    return limit / 10 + Milliseconds(randomBelow(limit.count()));
}

} // namespace auburndoor
