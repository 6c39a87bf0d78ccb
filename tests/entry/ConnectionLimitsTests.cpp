#include "entry/ConnectionLimits.h"
#include "entry/EntrySettings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburndoor;

// Guards against accepted connections that leave no descriptors for files and for the process's own connections.
TEST_CASE("the limits of all listeners together leave descriptors for files and own connections")
{
    for (const std::size_t descriptors : { 300, 500, 1024, 4096, 100000 }) {
        EntrySettings settings;
        settings.maxDescriptors = descriptors;
        const auto limits = ConnectionLimits::derive(settings);
        std::size_t accepted = 0;
        for (const auto *each : { &limits.clients, &limits.readiness, &limits.peers, &limits.operators }) {
            CHECK(each->maxConnections > 0);
            accepted += each->maxConnections + each->maxRejectedConnections;
        }
        const auto usable = descriptors - 200;
        CHECK(accepted <= usable - std::min<std::size_t>(usable / 4, 768));
        CHECK(limits.clients.maxConnections <= 3000);
    }
}

// Guards against a budget that refuses an ordinary request with the largest documented body and headers in calm.
TEST_CASE("on the smallest machine the budget holds the largest request of a client, and is a quarter of the memory")
{
    EntrySettings settings;
    const auto limits = ConnectionLimits::derive(settings);
    CHECK(limits.memoryBytes == std::size_t(30) << 20);
    CHECK(limits.clients.maxBodyBytes >= 262144);
    CHECK(limits.clients.maxHeaderBytes == 16384);
    ConnectionMemory memory(limits.memoryBytes);
    constexpr std::size_t copies = 4;
    constexpr std::size_t manyFields = 4096 * sizeof(HttpHeader);
    CHECK(memory.tryTake(ConnectionPurpose::Clients, copies * 262144 + manyFields, false));
    settings.memoryMiB = 16;
    CHECK(ConnectionLimits::derive(settings).memoryBytes == std::size_t(4) << 20);
}
