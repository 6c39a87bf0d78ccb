#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "observability/Log.h"
#include "placement/OwnerChoice.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburndoor {

/** Which instances place tasks. */
enum class PlacementOwnership {
    /** Each instance owns some shards. */
    Sharded,
    /** One instance owns all shards and places all tasks; the baseline for comparisons. */
    Single,
};

/** How a worker is chosen for a task. */
enum class PlacementPolicy {
    BestFit,
    FirstFit,
    Random,
};

/** The order in which waiting requests are served. */
enum class QueueOrdering {
    /** Urgent first, then the lowest weighted dominant share, then the earliest deadline. */
    FairDeadline,
    /** In the order of arrival; the baseline for comparisons. */
    Fifo,
};

/** The address and limits of one HTTP listener. */
struct ListenerSettings
{
    /** An IPv4 address of this machine. */
    std::string address = "127.0.0.1";
    /** 0 lets the system choose a free port. */
    int port = 0;
    int threads = 16;
    /** Maximum number of connections that wait for a thread; further ones are refused at once. */
    int waitingConnections = 64;
    /** Requests with a larger body are refused. */
    std::size_t maxBodyBytes = 1 << 20;
};

/** The address of the listener for peers, and the secret that peers share. */
struct PeerSettings
{
    /** An IPv4 address at which the other instances reach this one; not 0.0.0.0. */
    std::string address = "127.0.0.1";
    /** 0 lets the system choose a free port. */
    int port = 0;
    /** At least 16 characters; from "secret" or from the file named by "secretFile". Never logged. */
    std::string secret;
};

/**
    The settings of one auburndoord process.

    The defaults here are those of docs/configuration.md; ranges are checked by SettingsLoader.
*/
struct Settings
{
    struct Instance
    {
        InstanceId id;
        FailureDomainId failureDomain;
        RegionId region;
    };

    struct Platform
    {
        /** The endpoints of the platform's service, each as "ip:port". */
        std::vector<std::string> addresses;
        /** Write limit of the whole cell. */
        int writesPerSecond = 300;
    };

    struct Operators : ListenerSettings
    {
        /** SHA-256 of each accepted token, 64 lower-case hexadecimal digits. */
        std::vector<std::string> tokenDigests;
    };

    struct Membership
    {
        /** Time between heartbeats when nothing changes. */
        Milliseconds heartbeatPeriod { 500 };
        /** Minimum time between two summaries. */
        Milliseconds summaryFloor { 150 };
        /** Time without a heartbeat after which a peer is suspected. */
        Milliseconds suspicion { 2000 };
    };

    struct Ownership
    {
        /** Other instances may take over the shards of an instance whose row has not changed for this long. */
        Milliseconds lease { 6000 };
        Milliseconds renewal { 2000 };
        int shardsPerDomain = 8;
    };

    struct Placement
    {
        PlacementOwnership ownership = PlacementOwnership::Sharded;
        PlacementPolicy policy = PlacementPolicy::BestFit;
        OwnerSelectionPolicy rule = OwnerSelectionPolicy::LocalFirst;
    };

    struct Queue
    {
        QueueOrdering order = QueueOrdering::FairDeadline;
    };

    struct Tasks
    {
        /** A worker stops tasks that have not been renewed for this long. */
        Milliseconds lease { 30'000 };
        Milliseconds renewal { 10'000 };
    };

    struct Configuration
    {
        /** Time between reads of the row "configuration/head". */
        Milliseconds poll { 1000 };
    };

    struct Retry
    {
        /** Maximum number of retries per hundred requests. */
        int budgetPercent = 10;
    };

    struct Shutdown
    {
        /** Maximum duration of a graceful shutdown; it is aborted afterwards. */
        Milliseconds deadline { 30'000 };
    };

    struct Logging
    {
        Log::Level level = Log::Level::Info;
    };

    Instance instance;
    ListenerSettings callers { "127.0.0.1", 0, 128, 1024, 1 << 20 };
    Operators operators;
    PeerSettings peers;
    Platform platform;
    Membership membership;
    Ownership ownership;
    Placement placement;
    Queue queue;
    Tasks tasks;
    Configuration configuration;
    Retry retry;
    Shutdown shutdown;
    Logging log;
};

} // namespace auburndoor
