#include "fakes/FakeStore.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds givenUpAfter { 500 };

} // namespace

void FakeStore::answer(StoreResult result, Callback callback, Milliseconds delay)
{
    timers_.after(delay, [result = std::move(result), callback = std::move(callback)] { callback(result); });
}

StoreTimeSpan FakeStore::clock() const
{
    const auto now = std::chrono::duration_cast<Milliseconds>(timers_.now().time_since_epoch()) + clockShift_;
    return { now, now };
}

StoreResult FakeStore::apply(const StoreChange &change)
{
    StoreResult result;
    for (const auto &expected : change.expected) {
        const auto *present = row(expected.table, expected.key);
        if ((present == nullptr ? 0 : present->version) != expected.version) {
            result.outcome = StoreOutcome::Conflict;
        }
    }
    if (result.outcome == StoreOutcome::Conflict) {
        for (const auto &expected : change.expected) {
            if (const auto *present = row(expected.table, expected.key)) {
                result.rows.push_back(*present);
            }
        }
        return result;
    }
    const auto isTooLarge = [this](const StoreRow &row) { return row.value.size() > maxRowBytes_; };
    if (std::any_of(change.writes.begin(), change.writes.end(), isTooLarge)) {
        ++rejected_;
        result.outcome = StoreOutcome::Rejected;
        result.detail = "a value is too large";
        return result;
    }
    ++commits_;
    ++version_;
    for (const auto &written : change.writes) {
        auto stored = written;
        stored.version = version_;
        rows_[{ written.table, written.key }] = stored;
        history_.push_back(stored);
    }
    for (const auto &removed : change.removals) {
        rows_.erase({ removed.table, removed.key });
        history_.push_back({ removed.table, removed.key, {}, version_, true });
    }
    result.outcome = StoreOutcome::Done;
    result.version = version_;
    return result;
}

void FakeStore::commit(StoreChange change, Callback callback)
{
    if (isDown_) {
        answer({ StoreOutcome::NotDone, 0, {}, "down" }, std::move(callback), answerTime_);
        return;
    }
    if (answersToLose_ > 0) {
        --answersToLose_;
        timers_.after(applyAfter_, [this, change = std::move(change)] { apply(change); });
        answer({ StoreOutcome::Unknown, 0, {}, "lost" }, std::move(callback), givenUpAfter);
        return;
    }
    timers_.after(answerTime_ / 2, [this, change = std::move(change), callback = std::move(callback)] {
        answer(apply(change), callback, answerTime_ / 2);
    });
}

StoreResult FakeStore::read(const std::string &table, const std::string &from, std::size_t maxRows) const
{
    StoreResult result;
    result.outcome = isDown_ ? StoreOutcome::NotDone : StoreOutcome::Done;
    result.version = version_;
    result.time = clock();
    for (const auto &[name, stored] : rows_) {
        if (isDown_ || name.first != table || name.second < from) {
            continue;
        }
        if (result.rows.size() == maxRows) {
            result.nextPageKey = name.second;
            break;
        }
        result.rows.push_back(stored);
    }
    return result;
}

void FakeStore::readAll(const std::string &table, const std::string &from, Callback callback)
{
    answer(read(table, from, SIZE_MAX), std::move(callback), answerTime_);
}

void FakeStore::readPage(const std::string &table, const std::string &firstKey, Callback callback)
{
    answer(read(table, firstKey, pageSize_), std::move(callback), answerTime_);
}

void FakeStore::readRow(const std::string &table, const std::string &key, Callback callback)
{
    StoreResult result;
    result.outcome = isDown_ ? StoreOutcome::NotDone : StoreOutcome::Done;
    if (const auto *stored = row(table, key); stored != nullptr && !isDown_) {
        result.rows.push_back(*stored);
    }
    answer(std::move(result), std::move(callback), answerTime_);
}

void FakeStore::changes(const std::string &table, std::int64_t after, Milliseconds wait, Callback callback)
{
    timers_.after(std::max(wait / 4, answerTime_), [this, table, after, callback = std::move(callback)] {
        StoreResult result;
        result.outcome = isDown_ ? StoreOutcome::NotDone : StoreOutcome::Done;
        result.version = version_;
        result.time = clock();
        for (const auto &changed : history_) {
            if (!isDown_ && changed.table == table && changed.version > after) {
                result.rows.push_back(changed);
            }
        }
        callback(result);
    });
}

void FakeStore::write(const std::string &table, const std::string &key, const std::string &value)
{
    StoreChange change;
    change.writes.push_back({ table, key, value });
    apply(change);
}

void FakeStore::remove(const std::string &table, const std::string &key)
{
    StoreChange change;
    change.removals.push_back({ table, key, {} });
    apply(change);
}

std::vector<std::string> FakeStore::keys(const std::string &table) const
{
    std::vector<std::string> keys;
    for (const auto &[name, stored] : rows_) {
        if (name.first == table) {
            keys.push_back(name.second);
        }
    }
    return keys;
}

const StoreRow *FakeStore::row(const std::string &table, const std::string &key) const
{
    const auto found = rows_.find({ table, key });
    return found == rows_.end() ? nullptr : &found->second;
}

void FakeStore::abandonReads(const std::string &)
{
}

} // namespace auburndoor
