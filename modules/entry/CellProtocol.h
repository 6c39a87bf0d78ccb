#pragma once

#include "dispatch/JobState.h"
#include "net/HttpExchange.h"
#include "workload/DesiredState.h"
#include "workload/StateStore.h"
#include "workload/WorkerEntry.h"

#include <optional>
#include <string>

namespace auburndoor {

/** What a client asks for. */
struct ClientCall
{
    enum class Kind {
        Submit,
        Query,
        Cancel,
        CountPending,
        /** Not a call that is known. */
        Other,
    };
    Kind kind = Kind::Other;
    std::string queue;
    std::string job;
    /** A submission's body, as it arrived. */
    std::string body;
    /** How long the client waits for the answer. */
    Milliseconds timeout { 3000 };
    /** How long it may wait for an owner or the store before it is refused. */
    Milliseconds ownerWaitLimit { 700 };
};

/** What a client is told. */
struct ClientResult
{
    enum class Outcome {
        Accepted,
        /** The stage of the job, or the number of pending jobs. */
        Answered,
        Cancelled,
        /** Not done and never will be by this call; to be tried again later. */
        Refused,
        /** Not known whether it was done. */
        Unknown,
        Malformed,
        NoSuchJob,
        NoSuchQueue,
        /** The owner was deposed meanwhile: to be asked of the next one. Never told to a client. */
        OwnerChanged,
    };
    Outcome outcome = Outcome::Unknown;
    JobStage stage = JobStage::Queued;
    int pending = 0;
    /** With a refusal: when to come back. */
    Milliseconds retryAfter { 0 };
    /** What is wrong, for a person. */
    std::string detail = {};
};

/** What clients, operators and workers speak, translated to the product's types. */
class CellProtocol
{
public:
    virtual ~CellProtocol() = default;

    /** Reads a client's request; fills a result of its own if there is nothing to be done for it. */
    virtual ClientCall readCall(const WebRequest &request,
                                const DesiredState &queues,
                                std::optional<ClientResult> &result) const = 0;
    virtual WebReply writeResult(const ClientCall &call, const ClientResult &result) const = 0;
    virtual std::optional<JobSpec> readJob(const std::string &body, std::string &error) const = 0;

    virtual bool isReadinessRequest(const WebRequest &request) const = 0;

    /** The table that holds the operator's desired state, and the reading of its rows; empty for rows that hold something else. */
    virtual std::string operatorTable() const = 0;
    virtual std::string desiredStateKey() const = 0;
    virtual std::optional<DesiredState> readDesiredState(const StoreRow &row) const = 0;

    /** The table in which workers register, and the reading of a row; empty for rows that name no usable worker. */
    virtual std::string workerTable() const = 0;
    virtual std::optional<WorkerEntry> readWorker(const StoreRow &row) const = 0;
};

} // namespace auburndoor
