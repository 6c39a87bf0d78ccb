#include "entry/ConnectionLimits.h"

#include "entry/EntrySettings.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr std::size_t mebibyte = std::size_t(1) << 20;
// The rest of the memory is for the state of the owner, the rows that are read and what the heap can't reuse.
constexpr std::size_t memoryPart = 4;
constexpr std::size_t minMemoryBytes = 4 * mebibyte;
constexpr std::size_t maxMemoryBytes = 64 * mebibyte;
// The platform reserves these descriptors for files.
constexpr std::size_t fileDescriptors = 200;
// Connections that the process opens itself: to workers, other entry processes and the store.
constexpr std::size_t outgoingPart = 4;
constexpr std::size_t maxOutgoing = 768;
constexpr std::size_t peerPart = 4;
// At its peak an owner has over ten connections from each of the other processes.
constexpr std::size_t maxPeers = 3000;
constexpr std::size_t readinessPart = 16;
constexpr std::size_t maxReadiness = 64;
constexpr std::size_t operatorPart = 32;
constexpr std::size_t maxOperators = 32;
constexpr std::size_t rejectedPart = 32;
constexpr std::size_t maxRejected = 64;
constexpr std::size_t listenerCount = 4;
constexpr std::size_t maxClients = 3000;
// What Asio keeps of each connection that was open once leaves up to a page of the heap that can't be given back.
constexpr std::size_t clientsPerMiB = 8;
constexpr std::size_t minClients = 512;
// A probe of readiness or a request for metrics has a few short headers and no body.
constexpr std::size_t maxControlHeaderBytes = 4096;
// Bounds what the operating system keeps for a client that sends ahead or doesn't read.
constexpr int clientSocketBufferBytes = 65536;

} // namespace

ConnectionLimits ConnectionLimits::derive(const EntrySettings &settings)
{
    ConnectionLimits limits;
    limits.memoryBytes = std::clamp(settings.memoryMiB * mebibyte / memoryPart, minMemoryBytes, maxMemoryBytes);
    const auto usable = settings.maxDescriptors - fileDescriptors;
    const auto incoming = usable - std::min(usable / outgoingPart, maxOutgoing);
    const auto rejected = std::min(incoming / rejectedPart, maxRejected);
    limits.peers.maxConnections = std::min(incoming / peerPart, maxPeers);
    limits.readiness.maxConnections = std::min(incoming / readinessPart, maxReadiness);
    limits.operators.maxConnections = std::min(incoming / operatorPart, maxOperators);
    const auto others = limits.peers.maxConnections + limits.readiness.maxConnections + limits.operators.maxConnections;
    const auto maxByMemory = std::clamp(settings.memoryMiB * clientsPerMiB, minClients, maxClients);
    limits.clients.maxConnections = std::min(incoming - others - listenerCount * rejected, maxByMemory);
    limits.clients.socketBufferBytes = clientSocketBufferBytes;
    for (auto *each : { &limits.clients, &limits.readiness, &limits.peers, &limits.operators }) {
        each->maxRejectedConnections = rejected;
    }
    for (auto *each : { &limits.readiness, &limits.operators }) {
        each->maxHeaderBytes = maxControlHeaderBytes;
        each->maxBodyBytes = 0;
        each->socketBufferBytes = clientSocketBufferBytes;
    }
    return limits;
}

} // namespace auburndoor
