#include "DirectoryCodec.h"
#include "PlatformProtocol.h"
#include "dispatch/JobRecordCodec.h"
#include "entry/PeerCodec.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

const char *const accountsText = R"({"version":4,"services":[],"routes":[
    {"name":"closed","host":"h","pathPrefix":"/c/","service":"s","anonymous":false},
    {"name":"open","host":"h","pathPrefix":"/o/","service":"s","anonymous":true}],
    "tenants":[{"name":"north","apiKeys":["key-of-north","second-key"],"weight":33,"maxCount":{"cpu":1000,"memMb":64,"gpu":0}},
               {"name":"south","apiKeys":["key-of-south"]},
               {"name":"odd","apiKeys":["key-of-odd",7]},
               {"name":"weightless","apiKeys":["key-of-weightless"],"weight":0},
               {"name":"unlimited","apiKeys":["key-of-unlimited"],"maxCount":{"cpu":-1}},
               {"name":"unclear","apiKeys":["key-of-unclear"],"maxCount":{"cpu":"many"}}]})";

ClientCall readCall(const std::string &method,
                    const std::string &target,
                    const std::string &key,
                    std::optional<ClientResult> &result)
{
    WebRequest request { method, target, { { "host", "h" }, { "key", key } }, "{}" };
    return platform::PlatformProtocol().readCall(request, *platform::readDesiredState(accountsText), result);
}

} // namespace

TEST_CASE("the client accounts of the desired state are read with keys, weight and limit")
{
    const auto desiredState = platform::readDesiredState(accountsText);
    REQUIRE(desiredState);
    CHECK(desiredState->requiresKeys);
    CHECK(desiredState->queues.at(1).isAnonymous);
    const auto *north = desiredState->account("north");
    REQUIRE(north != nullptr);
    CHECK(north->weight == 33.0);
    CHECK(north->limit == Resources { 1000, 64, 0, 0, 0 });
    CHECK(desiredState->accountOfKey("second-key") == north);
    CHECK(desiredState->account("south")->weight == 1.0);
    CHECK(desiredState->account("south")->limit == Resources());
}

// Guards against an account without a limit that the operator has set, and against valid keys that are refused for another member
// of their account.
TEST_CASE("an account whose limit cannot be read authorizes no call, and one with another odd member goes on")
{
    const auto desiredState = platform::readDesiredState(accountsText);
    REQUIRE(desiredState);
    CHECK(desiredState->accounts.size() == 4);
    CHECK(desiredState->accountOfKey("key-of-unlimited") == nullptr);
    CHECK(desiredState->accountOfKey("key-of-unclear") == nullptr);
    CHECK(desiredState->accountOfKey("key-of-odd") == desiredState->account("odd"));
    REQUIRE(desiredState->account("weightless") != nullptr);
    CHECK(desiredState->account("weightless")->weight == 1.0);
    CHECK(desiredState->accountOfKey("") == nullptr);
    const auto unreadable = platform::readDesiredState(R"({"version":5,"services":[],"routes":[],"tenants":7})");
    REQUIRE(unreadable);
    CHECK(unreadable->requiresKeys);
}

// Guards against a kind of call that is served without a key.
TEST_CASE("a call without a valid key is answered with status 401, whatever its kind")
{
    const auto [method, target] = GENERATE(table<std::string, std::string>({ { "POST", "/c/00112233aabbccdd" },
                                                                             { "GET", "/c/00112233aabbccdd" },
                                                                             { "DELETE", "/c/00112233aabbccdd" },
                                                                             { "GET", "/c/" } }));
    const auto key = GENERATE(as<std::string>(), "", "unknown", "key-of-nort", "key-of-north2");
    std::optional<ClientResult> result;
    const auto call = readCall(method, target, key, result);
    REQUIRE(result);
    CHECK(platform::PlatformProtocol().writeResult(call, *result).status == 401);
    std::optional<ClientResult> resultOfValidKey;
    CHECK(readCall(method, target, "key-of-north", resultOfValidKey).account == "north");
    CHECK_FALSE(resultOfValidKey);
}

TEST_CASE("a queue that is anonymous is served without a key, and its jobs belong to no account")
{
    std::optional<ClientResult> result;
    CHECK(readCall("POST", "/o/00112233aabbccdd", "key-of-north", result).account.empty());
    CHECK_FALSE(result);
}

// Guards against older deployments that are refused: without accounts in the desired state no call needs a key.
TEST_CASE("a desired state without accounts requires no keys")
{
    const auto desiredState = platform::readDesiredState(
        R"({"version":4,"services":[],"routes":[{"name":"q","host":"h","pathPrefix":"/c/","service":"s"}]})");
    REQUIRE(desiredState);
    std::optional<ClientResult> result;
    const WebRequest request { "POST", "/c/00112233aabbccdd", { { "host", "h" } }, "{}" };
    const auto call = platform::PlatformProtocol().readCall(request, *desiredState, result);
    CHECK_FALSE(result);
    CHECK(call.account.empty());
}

// Guards against a job that counts for no account after a call between processes, or after a takeover.
TEST_CASE("the account of a job is passed to the owner and stored with its description")
{
    ClientCall call;
    call.kind = ClientCall::Kind::Submit;
    call.account = "north";
    auto request = PeerCodec::callRequest(call);
    for (auto &[name, value] : request.headers) {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
    }
    CHECK(PeerCodec::readCall(request)->account == "north");

    JobState job;
    job.spec.queue = "q";
    job.spec.account = "north";
    job.spec.steps.resize(1);
    JobState restored;
    REQUIRE(JobRecordCodec::readDescription(JobRecordCodec::description(job), restored));
    CHECK(restored.spec.account == "north");
}
