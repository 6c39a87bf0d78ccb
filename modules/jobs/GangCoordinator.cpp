#include "jobs/GangCoordinator.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "jobs/JobDecisions.h"

namespace auburndoor {

GangAttempt::GangAttempt(OwnerGateway &gateway, const HoldRequest &request)
    : gateway_(gateway), request_(request), instances_(gateway.instances())
{
}

GangAttempt::State GangAttempt::step()
{
    const auto wanted = static_cast<std::size_t>(request_.count);
    if (next_ < instances_.size() && places_.size() < wanted) {
        auto request = request_;
        request.count = static_cast<int>(wanted - places_.size());
        for (auto &place : gateway_.hold(instances_[next_], request)) {
            places_.push_back(std::move(place));
        }
        ++next_;
    }
    if (places_.size() >= wanted) {
        return State::Complete;
    }
    if (next_ < instances_.size()) {
        return State::Asking;
    }
    abandon();
    return State::Failed;
}

void GangAttempt::abandon()
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
    // Half of the time limit is left for the write of the assignment and the starts.
    const auto end = clock_.now() + request.timeLimit / 2;
    GangAttempt attempt(gateway_, request);
    auto state = GangAttempt::State::Asking;
    while (state == GangAttempt::State::Asking && clock_.now() < end) {
        state = attempt.step();
    }
    if (state == GangAttempt::State::Complete && clock_.now() < end) {
        return attempt.places();
    }
    attempt.abandon();
    failure = {
        FailureStep::Reserve, {}, FailureReason::NoCapacity, "no room for all " + std::to_string(request.count) + " tasks at once"
    };
    return std::nullopt;
}

Milliseconds GangCoordinator::pause(Priority priority, int attempt)
{
    const auto limit = retryLimit(priority, attempt);
    // From a tenth of the limit upwards, so that two gangs soon try at different moments.
    return limit / 10 + Milliseconds(randomBelow(limit.count()));
}

} // namespace auburndoor
