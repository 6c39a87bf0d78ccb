#include "dispatch/WaitingRows.h"

#include <algorithm>
#include <iterator>

namespace auburndoor {

namespace {

// A transaction takes at most this many urgent rows while routine rows wait, so that these are not starved.
constexpr std::size_t maxUrgentRows = 75;

void append(std::vector<CommitQueue::Callback> &callbacks, std::vector<CommitQueue::Callback> further)
{
    std::move(further.begin(), further.end(), std::back_inserter(callbacks));
}

} // namespace

void WaitingRows::put(const RowName &name, CommitQueue::Value value, CommitQueue::Callback durable, CommitQueue::Urgency urgency)
{
    auto [found, isNew] = rows_.try_emplace(name);
    auto &row = found->second;
    row.number = isNew ? nextNumber_ : row.number;
    ++nextNumber_;
    if (const auto apart = setAside_.extract(name)) {
        append(row.durable, std::move(apart.mapped().durable));
    }
    const bool isUrgent = urgency == CommitQueue::Urgency::Urgent;
    const bool becomesUrgent = !isNew && isUrgent && row.urgency == CommitQueue::Urgency::Routine;
    if (becomesUrgent) {
        eraseName(name);
    }
    if (isNew || becomesUrgent) {
        (isUrgent ? urgent_ : routine_).push_back(name);
        row.urgency = urgency;
    }
    row.value = std::move(value);
    if (durable) {
        row.durable.push_back(std::move(durable));
    }
}

void WaitingRows::putBack(const RowName &name, WaitingRow row)
{
    const auto found = rows_.find(name);
    if (found != rows_.end()) {
        append(found->second.durable, std::move(row.durable));
        found->second.number = std::min(found->second.number, row.number);
        return;
    }
    (row.urgency == CommitQueue::Urgency::Urgent ? urgent_ : dueRoutine_).push_front(name);
    rows_.emplace(name, std::move(row));
}

std::optional<std::vector<CommitQueue::Callback>> WaitingRows::remove(const RowName &name)
{
    if (auto apart = setAside_.extract(name)) {
        return std::move(apart.mapped().durable);
    }
    auto row = rows_.extract(name);
    if (!row) {
        return std::nullopt;
    }
    eraseName(name);
    return std::move(row.mapped().durable);
}

void WaitingRows::setAside(const RowName &name, WaitingRow row)
{
    const auto newer = rows_.find(name);
    if (newer != rows_.end()) {
        append(newer->second.durable, std::move(row.durable));
        return;
    }
    setAside_.emplace(name, std::move(row));
}

void WaitingRows::releaseSetAside()
{
    for (auto &[name, row] : std::exchange(setAside_, {})) {
        row.urgency = CommitQueue::Urgency::Routine;
        putBack(name, std::move(row));
    }
}

void WaitingRows::releaseRoutine()
{
    std::move(routine_.begin(), routine_.end(), std::back_inserter(dueRoutine_));
    routine_.clear();
}

bool WaitingRows::hasDue() const
{
    return !urgent_.empty() || !dueRoutine_.empty();
}

std::pair<RowName, WaitingRow> WaitingRows::takeNext(std::size_t rowsTaken)
{
    const bool isUrgent = !urgent_.empty() && (rowsTaken < maxUrgentRows || dueRoutine_.empty());
    auto &names = isUrgent ? urgent_ : dueRoutine_;
    auto name = std::move(names.front());
    names.pop_front();
    auto row = rows_.extract(name);
    return { std::move(name), std::move(row.mapped()) };
}

bool WaitingRows::hasRowBefore(std::uint64_t number) const
{
    return std::any_of(rows_.begin(), rows_.end(), [number](const auto &entry) { return entry.second.number < number; });
}

std::size_t WaitingRows::count() const
{
    return rows_.size();
}

void WaitingRows::clear()
{
    // The callbacks may keep the owner of these rows alive, and with it this object.
    const auto rows = std::exchange(rows_, {});
    const auto setAside = std::exchange(setAside_, {});
    urgent_.clear();
    routine_.clear();
    dueRoutine_.clear();
}

void WaitingRows::eraseName(const RowName &name)
{
    std::erase(urgent_, name);
    std::erase(routine_, name);
    std::erase(dueRoutine_, name);
}

} // namespace auburndoor
