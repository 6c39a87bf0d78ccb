#pragma once

#include "entry/CellProtocol.h"
#include "entry/EntrySettings.h"
#include "workload/Advisor.h"
#include "workload/StateStore.h"
#include "workload/WorkerClient.h"

#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

class EventLoop;
class Metrics;

/** What an entry process is built from; the adapter of a platform provides it. */
struct EntryDependencies
{
    EventLoop &loop;
    const EntrySettings &settings;
    const CellProtocol &protocol;
    StateStore &store;
    WorkerClientFactory &workers;
    /** Null if the deployment has no advisory service. */
    Advisor *advisor = nullptr;
    Metrics &metrics;
};

/** One entry process of the cell: serves clients, and owns the cell when it is its turn. */
class EntryInstance
{
public:
    explicit EntryInstance(const EntryDependencies &parts);
    ~EntryInstance();

    /** Opens all listeners. @return whether it succeeded; error says why not */
    bool start(std::string &error);

    /** Reports itself not ready, hands the cell over, finishes open requests, then calls back. */
    void shutDown(std::function<void()> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
