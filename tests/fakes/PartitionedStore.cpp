#include "fakes/PartitionedStore.h"

#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds givenUpAfter { 1500 };
constexpr Milliseconds refusalTime { 8 };

} // namespace

void PartitionedStore::pass(const std::function<void(Callback)> &send, Callback callback)
{
    const auto giveUp = [this](const Callback &caller) {
        timers_.after(givenUpAfter, [caller] { caller({ StoreOutcome::Unknown, 0, {}, "no reply" }); });
    };
    if (isCut) {
        giveUp(callback);
        return;
    }
    send([this, giveUp, callback = std::move(callback)](const StoreResult &result) {
        if (isCut) {
            giveUp(callback);
        } else if (deliverReply) {
            deliverReply([callback, result] { callback(result); });
        } else {
            callback(result);
        }
    });
}

void PartitionedStore::passRead(const std::function<void(Callback)> &send, Callback callback)
{
    if (refusesReads && !isCut) {
        timers_.after(refusalTime, [callback = std::move(callback)] { callback({ StoreOutcome::NotDone, 0, {}, "refused" }); });
        return;
    }
    pass(send, std::move(callback));
}

void PartitionedStore::commit(StoreChange change, Callback callback)
{
    pass([this, &change](Callback reply) { store_.commit(std::move(change), std::move(reply)); }, std::move(callback));
}

void PartitionedStore::readAll(const std::string &table, const std::string &firstKey, Callback callback)
{
    passRead([&](Callback reply) { store_.readAll(table, firstKey, std::move(reply)); }, std::move(callback));
}

void PartitionedStore::readPage(const std::string &table, const std::string &firstKey, Callback callback)
{
    passRead([&](Callback reply) { store_.readPage(table, firstKey, std::move(reply)); }, std::move(callback));
}

void PartitionedStore::readRow(const std::string &table, const std::string &key, Callback callback)
{
    passRead([&](Callback reply) { store_.readRow(table, key, std::move(reply)); }, std::move(callback));
}

void PartitionedStore::changes(const std::string &table, std::int64_t afterVersion, Milliseconds maxWait, Callback callback)
{
    passRead([&](Callback reply) { store_.changes(table, afterVersion, maxWait, std::move(reply)); }, std::move(callback));
}

void PartitionedStore::abandonReads(const std::string &table)
{
    store_.abandonReads(table);
}

} // namespace auburndoor
