#include "entry/OwnershipReport.h"

#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

namespace {

std::int64_t toMilliseconds(TimePoint::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

std::string join(const std::vector<std::string> &ids)
{
    std::string text;
    for (const auto &id : ids) {
        text += (text.empty() ? "" : ",") + id;
    }
    return text;
}

} // namespace

OwnershipReport::OwnershipReport(std::int64_t token) : token_(token)
{
}

void OwnershipReport::updateConfirmation(TimePoint now,
                                         Milliseconds storeAge,
                                         Milliseconds stallDuration,
                                         const CountWorkers &countWorkers)
{
    const bool isConfirmed = storeAge <= maxStoreAge;
    if (isConfirmed && unconfirmedSince_) {
        const auto away = now - storeAge - *std::exchange(unconfirmedSince_, std::nullopt);
        const auto workers = countWorkers();
        EventLog::write("owner.confirmed",
                        { { "token", token_ },
                          { "store_age_ms", storeAge.count() },
                          { "away_ms", toMilliseconds(away) },
                          { "workers_answering", workers.answering },
                          { "workers", workers.total } });
    }
    if (isConfirmed || (unconfirmedSince_ && now - unconfirmedWrittenAt_ < maxStoreAge)) {
        return;
    }
    unconfirmedSince_ = unconfirmedSince_.value_or(now - storeAge);
    unconfirmedWrittenAt_ = now;
    const auto workers = countWorkers();
    EventLog::write("owner.unconfirmed",
                    { { "token", token_ },
                      { "store_age_ms", storeAge.count() },
                      { "stalled_ms", stallDuration.count() },
                      { "workers_answering", workers.answering },
                      { "workers", workers.total } });
}

void OwnershipReport::updatePermission(bool mayStart, Milliseconds storeAge, const CountWorkers &countWorkers)
{
    if (mayStart == std::exchange(mayStart_, mayStart)) {
        return;
    }
    const auto workers = countWorkers();
    EventLog::write(mayStart ? "owner.permission_regained" : "owner.permission_ended",
                    { { "token", token_ },
                      { "store_age_ms", storeAge.count() },
                      { "workers_answering", workers.answering },
                      { "workers", workers.total } });
}

void OwnershipReport::updateWait(TimePoint now, bool isWaiting, Milliseconds remainingLease, const CountWorkers &countWorkers)
{
    if (isWaiting == waitingSince_.has_value()) {
        return;
    }
    const auto workers = countWorkers();
    if (isWaiting) {
        waitingSince_ = now;
        EventLog::write("takeover.waiting",
                        { { "token", token_ },
                          { "unread", workers.unread },
                          { "unread_workers", join(workers.firstUnread) },
                          { "at_most_ms", remainingLease.count() } });
        return;
    }
    const bool isByTime = remainingLease == Milliseconds(0) && workers.unread > 0;
    EventLog::write("takeover.wait_over",
                    { { "token", token_ },
                      { "waited_ms", toMilliseconds(now - *std::exchange(waitingSince_, std::nullopt)) },
                      { "unread", workers.unread },
                      { "unread_workers", join(workers.firstUnread) },
                      { "why", isByTime ? "leases ended" : "read" } });
}

} // namespace auburndoor
