#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <cstddef>
#include <optional>
#include <string>

namespace auburndoor {

/** The settings of one entry process. */
struct EntrySettings
{
    /** The name of this machine, unique in the cell. */
    std::string nodeName;
    /** The failure domain of this machine. */
    std::string failureDomain;
    /** The listen address for clients. */
    Address clients;
    /** The listen address for the load balancer's readiness probes. */
    Address readiness;
    /** The listen address for the other entry processes of the cell. */
    Address peers;
    /** The listen address at which operators read the metrics. */
    Address operators;
    /** The address of the platform's store. */
    Address store;
    /** The address of the advisory service; empty if there is none. */
    std::optional<Address> advisor;
    /** The share of a processor core that this process may use, from 0 to 1. */
    double processorShare = 1.0;
    /** The bandwidth of this machine's link, in Mbit/s. */
    double linkMbps = 1000.0;
    /** The memory of this machine, in MiB. By default that of the smallest machine. */
    std::size_t memoryMiB = 120;
    /** The number of file descriptors that this process may use, of which 200 are reserved for files. */
    std::size_t maxDescriptors = 4096;

    /** Up to this number of workers, the owner sends all commands itself; with more, other entry processes are its relays. Fewer on
     * a slow link. */
    std::size_t maxDirectWorkers = 200;
    /** How long the directory lists a worker that has fallen silent, at least. */
    Milliseconds entryLifetime { 4500 };
    /** The largest value that the store takes for a row, in bytes. */
    std::size_t maxRowBytes = 65536;
    /** The longest lease that a worker accepts. */
    Milliseconds maxLease { 10000 };
    /** How long a worker may take to end a run that it is told to stop, or whose lease has ended. */
    Milliseconds killGrace { 400 };
    /** Time from the stop signal until the process is killed. */
    Milliseconds shutdownGrace { 6000 };
    /** How long the state of an ended job is kept. */
    Milliseconds statusRetention { 120000 };
    /** How long before its scheduled time an occurrence of a job may start. */
    Milliseconds earlyStart { 250 };
};

} // namespace auburndoor
