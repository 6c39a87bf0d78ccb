#include "entry/OwnerImpl.h"

#include <algorithm>

namespace auburndoor {

namespace {

// What a refusal needs of the client's patience to arrive in time.
constexpr Milliseconds answerMargin { 200 };
// Outages of the store last seconds, and a client tries a few times only.
constexpr Milliseconds retryAfterStall { 1200 };

} // namespace

void Owner::Impl::serve(const ClientCall &call, Callback callback)
{
    switch (call.kind) {
    case ClientCall::Kind::Submit:
        submit(call, std::move(callback));
        return;
    case ClientCall::Kind::Query:
        if (const auto stage = jobManager.shownStage(call.job)) {
            callback({ .outcome = ClientResult::Outcome::Answered, .stage = *stage });
        } else {
            confirmAbsence(std::move(callback));
        }
        return;
    case ClientCall::Kind::Cancel:
        jobManager.cancel(call.job, [self = shared_from_this(), callback = std::move(callback)](bool isKnown) {
            if (isKnown) {
                callback({ .outcome = ClientResult::Outcome::Cancelled });
            } else {
                self->confirmAbsence(callback);
            }
        });
        return;
    case ClientCall::Kind::CountPending:
        callback({ .outcome = ClientResult::Outcome::Answered, .pending = jobManager.pendingCount(call.queue) });
        return;
    case ClientCall::Kind::Other:
        break;
    }
    callback({ .outcome = ClientResult::Outcome::Malformed, .detail = "unknown call" });
}

void Owner::Impl::submit(const ClientCall &call, Callback callback)
{
    std::string error;
    auto spec = parts.protocol.readJob(call.body, error);
    if (!spec) {
        callback({ .outcome = ClientResult::Outcome::Malformed, .detail = error });
        return;
    }
    const auto *queue = queues.queue(call.queue);
    const bool isKnown = jobManager.shownStage(call.job).has_value();
    if (!isKnown && isLeaving) {
        callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner is stopping" });
        return;
    }
    if (!isKnown && queue == nullptr) {
        callback({ .outcome = ClientResult::Outcome::Refused,
                   .retryAfter = retryAfterStall,
                   .detail = "the queue is not known here yet" });
        return;
    }
    spec->id = call.job;
    spec->queue = call.queue;
    jobManager.submit(
        std::move(*spec), queue == nullptr ? QueueSpec() : *queue, [callback = std::move(callback)](SubmitOutcome outcome) {
            switch (outcome) {
            case SubmitOutcome::Accepted:
                callback({ .outcome = ClientResult::Outcome::Accepted });
                return;
            case SubmitOutcome::Refused:
                callback({ .outcome = ClientResult::Outcome::Refused,
                           .retryAfter = retryAfterStall,
                           .detail = "the store does not take jobs" });
                return;
            case SubmitOutcome::Unknown:
                callback({ .outcome = ClientResult::Outcome::Unknown, .detail = "the store has not answered" });
                return;
            case SubmitOutcome::OwnerChanged:
                callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" });
                return;
            }
        });
    parts.timers.after(std::min(call.ownerWaitLimit, call.timeout - answerMargin), [self = shared_from_this(), id = call.job] {
        if (!self->isClosed) {
            self->jobManager.withdraw(id);
        }
    });
}

void Owner::Impl::confirmAbsence(Callback callback)
{
    guard.confirm([self = shared_from_this(), callback = std::move(callback)](OwnershipGuard::Verdict verdict) {
        switch (verdict) {
        case OwnershipGuard::Verdict::IsOwner:
            callback({ .outcome = ClientResult::Outcome::NoSuchJob });
            return;
        case OwnershipGuard::Verdict::IsReplaced:
            callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" });
            return;
        case OwnershipGuard::Verdict::Unknown:
            callback({ .outcome = ClientResult::Outcome::Refused,
                       .retryAfter = retryAfterStall,
                       .detail = "the store does not confirm the owner" });
            return;
        }
    });
}

} // namespace auburndoor
