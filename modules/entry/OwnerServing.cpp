#include "entry/OwnerImpl.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Part of the client's timeout that is kept for a refusal to arrive in time.
constexpr Milliseconds answerMargin { 200 };
// Retry time given to clients: outages of the store last seconds, and a client retries only a few times.
constexpr Milliseconds retryAfterStall { 1200 };
// The number of pending jobs may be two seconds old.
constexpr Milliseconds maxAgeOfCount { 1500 };
constexpr const char *stoppingDetail = "the owner is stopping";

ClientResult unconfirmedOwnerResult()
{
    return { .outcome = ClientResult::Outcome::Refused,
             .retryAfter = retryAfterStall,
             .detail = "the store has not confirmed that this process is still the owner" };
}

} // namespace

void Owner::Impl::handleCall(const ClientCall &call, Callback callback)
{
    switch (call.kind) {
    case ClientCall::Kind::Submit:
        submit(call, std::move(callback));
        return;
    case ClientCall::Kind::Query:
        answerQuery(call, std::move(callback));
        return;
    case ClientCall::Kind::Cancel:
        if (isStopping) {
            // Its row would wait behind those that the stop waits for, and be lost with this owner.
            callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = stoppingDetail });
            return;
        }
        if (isJobOfOtherAccount(call)) {
            confirmNoSuchJob(KeyRefusal::OtherAccount, std::move(callback));
            return;
        }
        jobManager.cancel(call.job, [self = shared_from_this(), callback = std::move(callback)](bool isKnown) {
            if (isKnown) {
                callback({ .outcome = ClientResult::Outcome::Cancelled });
            } else {
                self->confirmNoSuchJob(KeyRefusal::None, callback);
            }
        });
        return;
    case ClientCall::Kind::CountPending:
        answerAsOwner({ .outcome = ClientResult::Outcome::Answered, .pending = jobManager.pendingCount(call.queue) },
                      maxAgeOfCount,
                      std::move(callback));
        return;
    case ClientCall::Kind::Other:
        break;
    }
    callback({ .outcome = ClientResult::Outcome::Malformed, .detail = "unknown call" });
}

bool Owner::Impl::isJobOfOtherAccount(const ClientCall &call) const
{
    const auto account = jobManager.accountOf(call.job);
    return !account.empty() && !call.account.empty() && account != call.account;
}

void Owner::Impl::answerQuery(const ClientCall &call, Callback callback)
{
    const auto stage = jobManager.shownStage(call.job);
    if (isJobOfOtherAccount(call)) {
        // Answered after the same check as for a job that does not exist, so that its time tells nothing either.
        confirmNoSuchJob(KeyRefusal::OtherAccount, std::move(callback));
    } else if (!stage) {
        confirmNoSuchJob(KeyRefusal::None, std::move(callback));
    } else if (isEnded(*stage) || evidence.isRecent()) {
        callback({ .outcome = ClientResult::Outcome::Answered, .stage = *stage });
    } else {
        // A successor may have shown the end of the job already.
        callback(unconfirmedOwnerResult());
    }
}

void Owner::Impl::submit(const ClientCall &call, Callback callback)
{
    if (isJobOfOtherAccount(call)) {
        callback({ .outcome = ClientResult::Outcome::Malformed,
                   .detail = "the job id is in use",
                   .keyRefusal = KeyRefusal::OtherAccount });
        return;
    }
    const auto *queue = desiredState.queue(call.queue);
    // A repeated submission of a job that is known, or that is being stored, is never refused: the first one may be accepted.
    const bool isNew = !jobManager.jobs().contains(call.job) && !jobManager.shownStage(call.job);
    if (isNew && !isStopping && queue != nullptr && refuseUnderOverload(call.job, *queue, callback)) {
        return;
    }
    std::string error;
    auto spec = dependencies.protocol.readJob(call.body, error);
    if (!spec) {
        callback({ .outcome = ClientResult::Outcome::Malformed, .detail = error });
        return;
    }
    const bool isKnown = jobManager.shownStage(call.job).has_value();
    if (!isKnown && isStopping) {
        callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = stoppingDetail });
        return;
    }
    if (!isKnown && queue == nullptr) {
        callback({ .outcome = ClientResult::Outcome::Refused,
                   .retryAfter = retryAfterStall,
                   .detail = "the queue is not known here yet" });
        return;
    }
    if (isNew && queue != nullptr && !spec->isScheduled) {
        ++backlog[queue->priority];
    }
    spec->id = call.job;
    spec->queue = call.queue;
    spec->account = call.account;
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
            case SubmitOutcome::TooLarge:
                callback({ .outcome = ClientResult::Outcome::Malformed,
                           .detail = "the description of the job takes more bytes than the store holds in a row" });
                return;
            case SubmitOutcome::Unknown:
                callback({ .outcome = ClientResult::Outcome::Unknown,
                           .detail = "the job ended before the store confirmed that it is stored" });
                return;
            case SubmitOutcome::OwnerChanged:
                callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" });
                return;
            }
        });
    dependencies.timers.after(std::min(call.ownerWaitLimit, call.timeout - answerMargin),
                              [self = shared_from_this(), id = call.job] {
                                  if (!self->isClosed) {
                                      self->jobManager.withdraw(id);
                                  }
                              });
}

void Owner::Impl::answerAsOwner(const ClientResult &result, Milliseconds maxAge, Callback callback)
{
    guard.confirmWithin(maxAge, [self = shared_from_this(), result, callback = std::move(callback)](OwnershipGuard::Status status) {
        if (status == OwnershipGuard::Status::IsReplaced) {
            callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" });
        } else if (status == OwnershipGuard::Status::IsOwner || self->evidence.isRecent()) {
            // While the store answers nobody, clients are answered all the same.
            callback(result);
        } else {
            callback(unconfirmedOwnerResult());
        }
    });
}

void Owner::Impl::confirmNoSuchJob(KeyRefusal refusal, Callback callback)
{
    guard.confirm([self = shared_from_this(), refusal, callback = std::move(callback)](OwnershipGuard::Status status) {
        switch (status) {
        case OwnershipGuard::Status::IsOwner:
            callback({ .outcome = ClientResult::Outcome::NoSuchJob, .keyRefusal = refusal });
            return;
        case OwnershipGuard::Status::IsReplaced:
            callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" });
            return;
        case OwnershipGuard::Status::Unknown:
            callback(unconfirmedOwnerResult());
            return;
        }
    });
}

} // namespace auburndoor
