#include "crowd/CrowdCell.h"
#include "crowd/CrowdRequests.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr std::size_t bodyBytes = 65536;
// What a body that stops short of its end leaves out.
constexpr std::size_t missingBytes = 16;

std::string unfinishedBody()
{
    return std::string(bodyBytes - missingBytes, ' ');
}

} // namespace

// Guards against bodies that never end taking all memory.
TEST_CASE("bodies in one piece that stop short", "[whole]")
{
    CrowdCell cell("whole");
    cell.runEverywhere([](const std::string &path) {
        return CrowdPlan { .head = CrowdRequests::announcement(path, bodyBytes) + unfinishedBody() };
    });
}

// Guards against read buffers that grow beside the bodies.
TEST_CASE("bodies in small pieces that stop short", "[pieces]")
{
    CrowdCell cell("pieces");
    cell.runEverywhere([](const std::string &path) {
        return CrowdPlan { .head = CrowdRequests::announcement(path, bodyBytes), .rest = unfinishedBody() };
    });
}

// Guards against bodies whose length is not announced, so that only their growth can be accounted.
TEST_CASE("bodies in chunks that stop short", "[chunks]")
{
    CrowdCell cell("chunks");
    cell.runEverywhere([](const std::string &path) {
        constexpr std::size_t chunkBytes = 1000;
        return CrowdPlan { .head = CrowdRequests::unfinishedChunks(path, bodyBytes, chunkBytes) };
    });
}

// Guards against bodies that are kept until they are over the limit.
TEST_CASE("bodies far over the limit", "[oversized]")
{
    CrowdCell cell("oversized");
    cell.runEverywhere([](const std::string &path) {
        constexpr std::size_t largeBytes = 2 << 20;
        constexpr std::size_t chunkBytes = 30000;
        return CrowdPlan { .connections = 60, .head = CrowdRequests::unfinishedChunks(path, largeBytes, chunkBytes) };
    });
}

// Guards against decoded messages that are far larger than their text.
TEST_CASE("bodies of thousands of short fields", "[fields]")
{
    CrowdCell cell("fields");
    cell.runEverywhere([](const std::string &path) {
        return CrowdPlan { .head = CrowdRequests::submission(path, CrowdRequests::bodyOfFields(6400)) };
    });
}

TEST_CASE("bodies of thousands of arrays", "[arrays]")
{
    CrowdCell cell("arrays");
    cell.runEverywhere([](const std::string &path) {
        return CrowdPlan { .head = CrowdRequests::submission(path, CrowdRequests::bodyOfArrays(20000)) };
    });
}

TEST_CASE("bodies of thousands of levels", "[levels]")
{
    CrowdCell cell("levels");
    cell.runEverywhere([](const std::string &path) {
        return CrowdPlan { .head = CrowdRequests::submission(path, CrowdRequests::bodyOfLevels(10000)) };
    });
}

// Guards against header fields that take more memory than their text.
TEST_CASE("headers of thousands of short fields that stop short", "[headers]")
{
    CrowdCell cell("headers");
    cell.runEverywhere([](const std::string &path) {
        constexpr std::size_t headerBytes = 16000;
        return CrowdPlan { .head = CrowdRequests::unfinishedHeaders(path, headerBytes) };
    });
}

// Guards against requests sent ahead that are read although the answers before them are not.
TEST_CASE("requests sent ahead without reading the answers", "[ahead]")
{
    CrowdCell cell("ahead");
    cell.runEverywhere([](const std::string &path) {
        constexpr int requests = 4000;
        std::string ahead;
        for (int number = 0; number < requests; ++number) {
            ahead += CrowdRequests::query(path);
        }
        return CrowdPlan { .connections = 300, .head = std::move(ahead), .reading = CrowdPlan::Reading::Never };
    });
}

// Guards against clients that hold what they have sent by sending a little more now and then.
TEST_CASE("clients that send slowly", "[slow-senders]")
{
    CrowdCell cell("slow-senders");
    cell.runEverywhere([](const std::string &path) {
        constexpr std::size_t slowBytes = 4000;
        const std::string head(bodyBytes - slowBytes, ' ');
        return CrowdPlan { .head = CrowdRequests::announcement(path, bodyBytes) + head,
                           .rest = std::string(slowBytes - missingBytes, ' '),
                           .pieceBytes = 16,
                           .pause = Milliseconds(100) };
    });
}

TEST_CASE("clients that read slowly", "[slow-readers]")
{
    CrowdCell cell("slow-readers");
    cell.runEverywhere([](const std::string &path) {
        std::string ahead;
        constexpr int requests = 20;
        for (int number = 0; number < requests; ++number) {
            ahead += CrowdRequests::submission(path, CrowdRequests::bodyOfFields(1000));
        }
        return CrowdPlan { .connections = 300, .head = std::move(ahead), .reading = CrowdPlan::Reading::Slowly };
    });
}

// Guards against memory that connections keep which their clients have half closed.
TEST_CASE("clients that stop half-way", "[half-way]")
{
    CrowdCell cell("half-way");
    cell.runEverywhere([](const std::string &path) {
        return CrowdPlan { .head = CrowdRequests::announcement(path, bodyBytes), .rest = unfinishedBody(), .endsSending = true };
    });
}

// Guards against connections that leave no descriptors for files and for connections to workers and the store.
TEST_CASE("more connections than descriptors", "[descriptors]")
{
    constexpr int memoryMb = 64;
    constexpr int maxFds = 500;
    CrowdCell cell("descriptors", memoryMb, maxFds);
    cell.runEverywhere([](const std::string &path) { return CrowdPlan { .head = CrowdRequests::announcement(path, bodyBytes) }; });
}

// The size of a real crowd; hidden, since it adds nothing that the smaller crowds don't show.
TEST_CASE("2,500 bodies that stop short, on the smallest machine", "[.][full-size]")
{
    constexpr int memoryMb = 120;
    CrowdCell cell("full-size", memoryMb);
    cell.runEverywhere([](const std::string &path) {
        return CrowdPlan { .connections = 2500, .head = CrowdRequests::announcement(path, bodyBytes) + unfinishedBody() };
    });
}
