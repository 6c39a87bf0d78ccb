#include "entry/OwnershipGuard.h"

#include "dispatch/CommitQueue.h"
#include "dispatch/OwnershipEvidence.h"
#include "net/Timers.h"
#include "observability/EventLog.h"
#include "workload/StateStore.h"

#include <optional>
#include <utility>
#include <vector>

namespace auburndoor {

namespace {

// Other processes replace an owner at the earliest when it has not run for heartbeatGracePeriod (350 ms, LeadershipTiming): a
// heartbeat request that was due to be answered when the suspension began is lost then. Less than that by the interval of tick().
constexpr Milliseconds minSuspension { 300 };
constexpr Milliseconds confirmRetryDelay { 150 };

} // namespace

struct OwnershipGuard::Impl : std::enable_shared_from_this<Impl>
{
    Impl(Timers &timers,
         StateStore &store,
         std::int64_t epochVersion,
         OwnershipEvidence &evidence,
         std::function<void()> onReplaced)
        : timers(timers), store(store), epochVersion(epochVersion), evidence(evidence), onReplaced(std::move(onReplaced))
    {
    }

    void confirmUntilKnown();
    void confirm(std::function<void(Status)> done);

    Timers &timers;
    StateStore &store;
    std::int64_t epochVersion;
    OwnershipEvidence &evidence;
    std::function<void()> onReplaced;
    TimePoint lastSeenRunningAt;
    /** When the first reading was sent that has failed since the last one that succeeded; empty if none has. */
    std::optional<TimePoint> failingSince;
    /** The callers of confirmWithin() that wait for a reading. */
    std::vector<std::function<void(Status)>> confirmWaiters;
    bool isWatching = false;
    bool isUncertain = false;
    bool isClosed = false;
    /** A reading of tick() is pending. */
    bool isConfirming = false;
    bool isReadingRequired = false;
    std::vector<std::function<void()>> waitingActions;
};

void OwnershipGuard::Impl::confirm(std::function<void(Status)> done)
{
    store.readRow(FencingRows::table,
                  FencingRows::epochKey,
                  [self = shared_from_this(), sentAt = CallTime::now(timers), done = std::move(done)](const StoreResult &result) {
                      const bool isSameVersion = !result.rows.empty() && result.rows.front().version == self->epochVersion;
                      const auto status = result.outcome != StoreOutcome::Done ? Status::Unknown
                                          : isSameVersion                      ? Status::IsOwner
                                                                               : Status::IsReplaced;
                      if (status != Status::Unknown) {
                          self->failingSince.reset();
                      } else if (!self->failingSince) {
                          self->failingSince = sentAt.steady;
                      }
                      if (status == Status::IsOwner && !self->isClosed) {
                          self->evidence.noteStoreConfirmation(sentAt);
                      }
                      if (status == Status::IsReplaced && !self->isClosed) {
                          self->onReplaced();
                      }
                      done(status);
                  });
}

void OwnershipGuard::Impl::confirmUntilKnown()
{
    confirm([self = shared_from_this()](Status status) {
        if (status == Status::Unknown && !self->isClosed) {
            self->timers.after(confirmRetryDelay, [self] { self->confirmUntilKnown(); });
            return;
        }
        self->isUncertain = false;
        for (const auto &action : std::exchange(self->waitingActions, {})) {
            action();
        }
    });
}

OwnershipGuard::OwnershipGuard(Timers &timers,
                               StateStore &store,
                               std::int64_t epochVersion,
                               OwnershipEvidence &evidence,
                               std::function<void()> onReplaced)
    : impl_(std::make_shared<Impl>(timers, store, epochVersion, evidence, std::move(onReplaced)))
{
}

OwnershipGuard::~OwnershipGuard()
{
    impl_->isClosed = true;
}

void OwnershipGuard::start()
{
    impl_->lastSeenRunningAt = impl_->timers.bootNow();
    impl_->isWatching = true;
}

void OwnershipGuard::requireReading()
{
    impl_->isReadingRequired = true;
}

void OwnershipGuard::tick()
{
    isUncertain();
    const bool isNeeded = impl_->evidence.isConfirmationNeeded() || impl_->failingSince || impl_->isReadingRequired;
    if (isNeeded && !std::exchange(impl_->isConfirming, true)) {
        impl_->isReadingRequired = false;
        impl_->confirm([impl = impl_](Status) { impl->isConfirming = false; });
    }
}

Milliseconds OwnershipGuard::stallDuration() const
{
    return impl_->failingSince ? std::chrono::duration_cast<Milliseconds>(impl_->timers.now() - *impl_->failingSince)
                               : Milliseconds(0);
}

bool OwnershipGuard::isUncertain()
{
    const auto now = impl_->timers.bootNow();
    const auto gap = now - std::exchange(impl_->lastSeenRunningAt, now);
    if (impl_->isWatching && gap > minSuspension && !std::exchange(impl_->isUncertain, true)) {
        EventLog::write("owner.suspended", { { "for_ms", std::chrono::duration_cast<Milliseconds>(gap).count() } });
        impl_->confirmUntilKnown();
    }
    return impl_->isUncertain;
}

void OwnershipGuard::runWhenCertain(std::function<void()> action)
{
    if (isUncertain()) {
        impl_->waitingActions.push_back(std::move(action));
    } else {
        action();
    }
}

void OwnershipGuard::confirm(std::function<void(Status)> done)
{
    impl_->confirm(std::move(done));
}

void OwnershipGuard::confirmWithin(Milliseconds maxAge, std::function<void(Status)> done)
{
    if (impl_->evidence.storeAge() <= maxAge) {
        done(Status::IsOwner);
        return;
    }
    impl_->confirmWaiters.push_back(std::move(done));
    if (impl_->confirmWaiters.size() > 1) {
        return;
    }
    impl_->confirm([impl = impl_](Status status) {
        for (const auto &waiter : std::exchange(impl->confirmWaiters, {})) {
            waiter(status);
        }
    });
}

} // namespace auburndoor
