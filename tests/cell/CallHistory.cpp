#include "cell/CallHistory.h"

#include <algorithm>

namespace auburndoor {

void CallHistory::add(CallRecord record)
{
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(record));
}

std::vector<CallRecord> CallHistory::records() const
{
    const std::lock_guard lock(mutex_);
    return records_;
}

std::size_t CallHistory::count(const std::string &outcome) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const CallRecord &record) { return record.outcome == outcome; }));
}

} // namespace auburndoor
