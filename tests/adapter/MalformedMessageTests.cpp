#include "DirectoryCodec.h"
#include "JobCodec.h"
#include "PlatformProtocol.h"
#include "entry/PeerCodec.h"
#include "fakes/Mutation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <string>

using namespace auburndoor;

namespace {

/** Checks a decoder with mutations of a valid text: it may refuse each one, and must not throw. */
void checkDecoder(const std::string &name, const std::string &valid, const std::function<void(const std::string &)> &decode)
{
    INFO(name);
    REQUIRE_NOTHROW(decode(valid));
    CHECK(rc::check(name, [&] { decode(mutated(valid)); }));
    REQUIRE_NOTHROW(decode(std::string(100000, '[')));
    REQUIRE_NOTHROW(decode("{\"a\":" + std::string(100000, '{')));
    REQUIRE_NOTHROW(decode("{\"token\":1e999,\"outcome\":-1e999}"));
    REQUIRE_NOTHROW(decode(std::string("\xff\xfe\0{", 4)));
}

} // namespace

// One malformed message costs that message, and not the process.
TEST_CASE("decoders of the messages between entry processes refuse malformed ones")
{
    OwnerHeartbeat heartbeat;
    heartbeat.owner = "n";
    heartbeat.members = { { "10.0.0.1", 80 } };
    checkDecoder("heartbeat", PeerCodec::heartbeatReply(heartbeat).body, [](const std::string &text) {
        PeerCodec::readHeartbeat({ 200, text, {} });
    });
    checkDecoder(
        "heartbeat request", PeerCodec::heartbeatRequest({ { "10.0.0.1", 80 }, 0.5, true }).body, [](const std::string &text) {
            PeerCodec::readHeartbeatRequest({ "POST", PeerCodec::heartbeatPath, {}, text });
        });
    checkDecoder("succession request", PeerCodec::successionRequest(7).body, [](const std::string &text) {
        PeerCodec::readSuccessionRequest({ "POST", PeerCodec::successionPath, {}, text });
    });
    checkDecoder("owner view", PeerCodec::ownerViewReply({ true, "n", 3, "10.0.0.1:80" }).body, [](const std::string &text) {
        PeerCodec::readOwnerView({ 200, text, {} });
    });
    checkDecoder("call reply", PeerCodec::callReply({}).body, [](const std::string &text) {
        if (const auto result = PeerCodec::readCallReply({ 200, text, {} })) {
            RC_ASSERT(result->outcome >= ClientResult::Outcome() && result->outcome <= ClientResult::lastOutcome);
        }
    });
    AdviceRequest request;
    request.workers = { "w1" };
    checkDecoder("advice request", PeerCodec::adviceRequest(request).body, [](const std::string &text) {
        PeerCodec::readAdviceRequest({ "POST", PeerCodec::advicePath, {}, text });
    });
    AdviceResult advice;
    advice.permits = { { "w1", "t" } };
    checkDecoder("advice reply", PeerCodec::adviceReply(advice).body, [](const std::string &text) {
        PeerCodec::readAdviceReply({ 200, text, {} });
    });
}

TEST_CASE("decoders of the platform's messages refuse malformed ones")
{
    checkDecoder("job",
                 R"({"spec":"t","repeatCount":3,"startAtMs":10,"intervalMs":50,"taskGroups":[{"count":4,"cpu":500,"memMb":256,
                     "estimateMs":900,"dependsOn":[]},{"count":2,"cpu":1,"dependsOn":[0],"gang":true}]})",
                 [](const std::string &text) {
                     std::string error;
                     platform::readJob(text, error);
                 });
    checkDecoder("worker entry",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":0},
                     "labels":["a","r"],"born":1})",
                 [](const std::string &text) {
                     platform::readWorkerEntry({ "servers", "w", text, 1 });
                 });
    checkDecoder("desired state",
                 R"({"version":3,"routes":[{"name":"q","host":"h","pathPrefix":"/a/","service":"s","priority":1,"maxAttempts":2,
                     "slackFactor":2,"targetLatencyMs":100}],"services":[{"name":"s"}],"limits":{}})",
                 [](const std::string &text) { platform::readDesiredState(text); });
}
