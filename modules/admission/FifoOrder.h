#pragma once

#include "admission/QueueOrder.h"

#include <map>
#include <utility>

namespace auburndoor {

/** Baseline: orders the entries by arrival. */
class FifoOrder : public QueueOrder
{
public:
    void add(const QueueEntry &entry) override;
    void remove(const QueueEntry &entry) override;
    std::vector<const QueueEntry *> heads(TimePoint now, std::size_t limit) const override;
    void started(const QueueEntry &entry, std::size_t position) override;
    std::size_t countAhead(const QueueEntry &entry) const override;

private:
    /** By arrival, then by request id. */
    std::map<std::pair<TimePoint, RequestId>, const QueueEntry *> entries_;
};

} // namespace auburndoor
