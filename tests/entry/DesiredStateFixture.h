#pragma once

#include "PlatformProtocol.h"
#include "entry/DesiredStateHolder.h"
#include "fakes/FakeStore.h"
#include "fakes/ManualTimers.h"
#include "fakes/PartitionedStore.h"
#include "observability/Metrics.h"
#include "workload/StoreTimeline.h"

#include <string>

namespace auburndoor {

/** Returns the text of a desired state with a queue that needs a key, one that needs none, and an account with these keys. */
inline std::string desiredStateText(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version) + R"(,"services":[{"name":"cpu"}],"routes":[
        {"name":"q","host":"h","pathPrefix":"/jobs/","service":"cpu"},
        {"name":"open","host":"h","pathPrefix":"/open/","service":"cpu","anonymous":true}],
        "tenants":[{"name":"lab","apiKeys":[)"
           + keys + "]}]}";
}

/** A store that counts the readings of single rows, and of changes without a wait. */
class RowCountingStore : public FakeStore
{
public:
    using FakeStore::FakeStore;

    void readRow(const std::string &table, const std::string &key, Callback callback) override
    {
        ++readCount;
        FakeStore::readRow(table, key, std::move(callback));
    }

    void changes(const std::string &table, std::int64_t after, Milliseconds wait, Callback callback) override
    {
        readCount += wait == Milliseconds(0) ? 1 : 0;
        FakeStore::changes(table, after, wait, std::move(callback));
    }

    int readCount = 0;
};

/** The desired state of one process and the store, in simulated time. */
struct DesiredStateFixture
{
    DesiredStateFixture()
    {
        store.setAnswerTime(Milliseconds(4));
    }

    void write(int version, const std::string &keys)
    {
        store.write(protocol.operatorTable(), protocol.desiredStateKey(), desiredStateText(version, keys));
    }

    ManualTimers timers;
    RowCountingStore store { timers };
    /** The link of the process to the store. */
    PartitionedStore link { timers, store };
    StoreTimeline timeline;
    platform::PlatformProtocol protocol;
    Metrics metrics;
    DesiredStateHolder holder { timers, link, timeline, protocol, [](const DesiredState &) {}, metrics };
};

} // namespace auburndoor
