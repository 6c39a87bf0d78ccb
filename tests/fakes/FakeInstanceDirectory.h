#pragma once

#include "storage/InstanceDirectory.h"

#include <mutex>

namespace auburndoor {

/** A list of workers that a test writes. Any thread. */
class FakeInstanceDirectory : public InstanceDirectory
{
public:
    void put(const ListedWorker &worker)
    {
        const std::lock_guard lock(mutex_);
        changes_.push_back(worker);
    }

    std::optional<WorkerListing> changesSince(long long cursor, TimePoint, Failure &) override
    {
        const std::lock_guard lock(mutex_);
        WorkerListing listing;
        listing.changed.assign(changes_.begin() + cursor, changes_.end());
        listing.cursor = static_cast<long long>(changes_.size());
        return listing;
    }

private:
    std::mutex mutex_;
    std::vector<ListedWorker> changes_;
};

} // namespace auburndoor
