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
    /** One instance owns all shards: the single-placer baseline. */
    Single,
};

/** How a worker is chosen. */
enum class PlacementPolicy {
    BestFit,
    FirstFit,
    Random,
};

/** The order in which waiting requests are served. */
enum class QueueOrdering {
    /** Urgent first, then the lowest weighted dominant share, then the earliest deadline. */
    FairDeadline,
    /** In the order of arrival: the baseline. */
    Fifo,
};

/** Where and how an HTTP listener listens. */
struct ListenerSettings
{
    /** An IPv4 address of this machine. */
    std::string address = "127.0.0.1";
    /** 0 lets the system choose a free port. */
    int port = 0;
    int threads = 16;
    /** Connections that may wait for a thread; those past it are refused at once. */
    int waitingConnections = 64;
    /** Bodies past it are refused. */
    std::size_t maxBodyBytes = 1 << 20;
};

/** Where the listener for peers listens, and the secret that peers share. */
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
        /** "ip:port" of each access point of the platform's service. */
        std::vector<std::string> addresses;
        /** The write budget of the whole cell. */
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
        /** Shortest time between two summaries. */
        Milliseconds summaryFloor { 150 };
        /** Silence after which a peer is suspected. */
        Milliseconds suspicion { 2000 };
    };

    struct Ownership
    {
        /** An instance row unchanged for this long lets others take over its shards. */
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
        /** Time between reads of the head row. */
        Milliseconds poll { 1000 };
    };

    struct Retry
    {
        /** Retries allowed for each hundred requests. */
        int budgetPercent = 10;
    };

    struct Shutdown
    {
        /** A graceful shutdown that takes longer is cut off. */
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
