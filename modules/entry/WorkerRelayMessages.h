#pragma once

#include "workload/WorkerChannel.h"
#include "workload/WorkerEntry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** A command to a worker in a RelayBatch. */
struct RelayCommand
{
    enum class Kind {
        Start,
        Stop,
        Throttle,
        Report,
    };
    static constexpr Kind lastKind = Kind::Report;

    /** Chosen by the owner; the reply carries the same number. */
    std::int64_t number = 0;
    Kind kind = Kind::Report;
    std::string worker;
    /** The task and attempt of Start, Stop and Throttle; the other members for Start only. */
    StartCommand task;
    /** For Start: the end of the lease. */
    LeaseDeadline deadline;
    /** For Throttle: the share of its full speed, from 0 to 100. */
    int percent = 0;
    /** For Report. */
    ReportRequest report;
};

/** The owner's message to a relay: commands to carry out. It is answered by RelayReplies to these and earlier commands. */
struct RelayBatch
{
    /** The owner's fencing token, which is sent with each command. */
    std::int64_t fencingToken = 0;
    /** RelayReplies::session of the relay's last answer; 0 before the first one. */
    std::int64_t session = 0;
    /** When the batch was sent, on the owner's Timers::bootNow(). */
    Milliseconds sentAt { 0 };
    /** Id, address and incarnation of each worker that a command names. A command may be for another incarnation. */
    std::vector<WorkerEntry> workers;
    std::vector<RelayCommand> commands;
};

/** The reply to one RelayCommand. */
struct RelayReply
{
    std::int64_t number = 0;
    WorkerClient::Reply reply;
    /** For an accepted RelayCommand::Kind::Report. */
    std::optional<TaskReport> report = {};
};

/** The relay's answer to a RelayBatch: the replies that have arrived since its last answer to this owner. */
struct RelayReplies
{
    /**
        A random number that the relay draws when it begins to serve this owner. Commands for another session are not carried out:
        a relay that has restarted cannot tell how long they were on their way.
    */
    std::int64_t session = 0;
    /** The share of a processor core that the relay's process may use. */
    double processorShare = 1.0;
    /** The failure domain of the relay's machine. */
    std::string failureDomain;
    std::vector<RelayReply> replies;
};

} // namespace auburndoor
