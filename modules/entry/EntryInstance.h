#pragma once

#include "entry/CellProtocol.h"
#include "entry/EntrySettings.h"
#include "workload/Advisor.h"
#include "workload/StateStore.h"
#include "workload/WorkerChannel.h"

#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

class EventLoop;
class Metrics;

/** The objects that an EntryInstance uses; the program provides them with the platform's implementations. */
struct EntryDependencies
{
    EventLoop &loop;
    const EntrySettings &settings;
    const CellProtocol &protocol;
    StateStore &store;
    WorkerChannelFactory &workerChannels;
    /** Null if the deployment has no advisory service. */
    Advisor *advisor = nullptr;
    Metrics &metrics;
};

/** One entry process of the cell: serves clients, takes part in the election of the owner, and is the owner when it wins. */
class EntryInstance
{
public:
    explicit EntryInstance(const EntryDependencies &dependencies);
    ~EntryInstance();

    /** Opens all listeners and starts to work. @return false if a listener cannot be opened; error says why */
    bool start(std::string &error);

    /**
        Stops the process gracefully: reports it not ready, releases the ownership, lets open requests finish and ends the clients'
        connections in order (ListenerDrain).

        @param done called when that is done, or shortly before the end of EntrySettings::shutdownGrace; not called if shutDown()
                    was called before
    */
    void shutDown(std::function<void()> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
