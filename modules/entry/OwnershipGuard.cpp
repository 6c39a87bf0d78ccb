#include "entry/OwnershipGuard.h"

#include "dispatch/CommitQueue.h"
#include "net/Timers.h"
#include "observability/EventLog.h"
#include "workload/StateStore.h"

#include <utility>
#include <vector>

namespace auburndoor {

namespace {

// The others replace an owner that has been silent for 600 ms (LeadershipTimes); shorter gaps are those of a busy process.
constexpr Milliseconds shortestSuspension { 550 };
constexpr Milliseconds confirmRetry { 150 };

} // namespace

struct OwnershipGuard::Impl : std::enable_shared_from_this<Impl>
{
    Impl(Timers &timers, StateStore &store, std::int64_t epochVersion, std::function<void()> replaced)
        : timers(timers), store(store), epochVersion(epochVersion), replaced(std::move(replaced))
    {
    }

    void resolve();
    void confirm(std::function<void(Verdict)> done);

    Timers &timers;
    StateStore &store;
    std::int64_t epochVersion;
    std::function<void()> replaced;
    TimePoint lastTick;
    bool isWatching = false;
    bool isInDoubt = false;
    bool isClosed = false;
    std::vector<std::function<void()>> waiting;
};

void OwnershipGuard::Impl::confirm(std::function<void(Verdict)> done)
{
    store.readRow(
        FencingRows::table, FencingRows::epochKey, [self = shared_from_this(), done = std::move(done)](const StoreResult &result) {
            const bool isNamed = !result.rows.empty() && result.rows.front().version == self->epochVersion;
            const auto verdict = result.outcome != StoreOutcome::Done ? Verdict::Unknown
                                 : isNamed                            ? Verdict::IsOwner
                                                                      : Verdict::IsReplaced;
            if (verdict == Verdict::IsReplaced && !self->isClosed) {
                self->replaced();
            }
            done(verdict);
        });
}

void OwnershipGuard::Impl::resolve()
{
    confirm([self = shared_from_this()](Verdict verdict) {
        if (verdict == Verdict::Unknown && !self->isClosed) {
            self->timers.after(confirmRetry, [self] { self->resolve(); });
            return;
        }
        self->isInDoubt = false;
        for (const auto &action : std::exchange(self->waiting, {})) {
            action();
        }
    });
}

OwnershipGuard::OwnershipGuard(Timers &timers, StateStore &store, std::int64_t epochVersion, std::function<void()> replaced)
    : impl_(std::make_shared<Impl>(timers, store, epochVersion, std::move(replaced)))
{
}

OwnershipGuard::~OwnershipGuard()
{
    impl_->isClosed = true;
}

void OwnershipGuard::start()
{
    impl_->lastTick = impl_->timers.bootNow();
    impl_->isWatching = true;
}

void OwnershipGuard::tick()
{
    isInDoubt();
    impl_->lastTick = impl_->timers.bootNow();
}

bool OwnershipGuard::isInDoubt()
{
    const auto now = impl_->timers.bootNow();
    const auto gap = now - impl_->lastTick;
    if (impl_->isWatching && gap > shortestSuspension) {
        impl_->lastTick = now;
        if (!std::exchange(impl_->isInDoubt, true)) {
            EventLog::write("owner.suspended", { { "for_ms", std::chrono::duration_cast<Milliseconds>(gap).count() } });
            impl_->resolve();
        }
    }
    return impl_->isInDoubt;
}

void OwnershipGuard::whenCertain(std::function<void()> action)
{
    if (isInDoubt()) {
        impl_->waiting.push_back(std::move(action));
    } else {
        action();
    }
}

void OwnershipGuard::confirm(std::function<void(Verdict)> done)
{
    impl_->confirm(std::move(done));
}

} // namespace auburndoor
