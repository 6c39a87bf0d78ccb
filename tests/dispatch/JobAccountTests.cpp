#include "dispatch/JobRecordCodec.h"
#include "dispatch/OwnerFixture.h"
#include "entry/PeerCodec.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cctype>

using namespace auburndoor;

namespace {

using Kind = ClientCall::Kind;
using Outcome = ClientResult::Outcome;

/** Makes a call with the key of an account, or without one, and waits for its answer. */
ClientResult call(OwnerFixture &fixture, Kind kind, const std::string &job, const std::string &account)
{
    ClientCall call;
    call.kind = kind;
    call.queue = "normal";
    call.job = job;
    call.account = account;
    call.body = kind == Kind::Submit ? jobBody(1, 1000) : std::string();
    auto answer = std::make_shared<std::optional<ClientResult>>();
    fixture.owner->call(call, [answer](const ClientResult &result) { *answer = result; });
    for (int step = 0; step < 200 && !*answer; ++step) {
        fixture.timers.advance(Milliseconds(20));
    }
    return answer->value_or(ClientResult());
}

} // namespace

// Guards against an account that sees, cancels or replaces the job of another one: while the job runs, when it has ended, and
// under the next owner.
TEST_CASE("a job belongs to the account that submitted it", "[accounts]")
{
    const bool isEnded = GENERATE(false, true);
    const bool isInherited = GENERATE(false, true);
    OwnerFixture fixture;
    fixture.takeOver();
    fixture.timers.advance(Milliseconds(500));
    const auto id = jobIdOf(1);
    REQUIRE(call(fixture, Kind::Submit, id, "north").outcome == Outcome::Accepted);
    if (isEnded) {
        REQUIRE(call(fixture, Kind::Cancel, id, "north").outcome == Outcome::Cancelled);
    }
    if (isInherited) {
        fixture.timers.advance(Milliseconds(500));
        fixture.takeOver();
        fixture.timers.advance(Milliseconds(500));
    }

    const auto query = call(fixture, Kind::Query, id, "south");
    CHECK(query.outcome == Outcome::NoSuchJob);
    CHECK(query.keyRefusal == KeyRefusal::OtherAccount);
    CHECK(query.detail == call(fixture, Kind::Query, jobIdOf(2), "south").detail);
    CHECK(call(fixture, Kind::Cancel, id, "south").outcome == Outcome::NoSuchJob);
    const auto submission = call(fixture, Kind::Submit, id, "south");
    CHECK(submission.outcome == Outcome::Malformed);
    CHECK(submission.keyRefusal == KeyRefusal::OtherAccount);

    const auto stage = isEnded ? JobStage::Cancelled : JobStage::Queued;
    CHECK(call(fixture, Kind::Query, id, "north").stage == stage);
    CHECK(call(fixture, Kind::Submit, id, "north").outcome == Outcome::Accepted);
    // A call to an anonymous queue, or from a process of an earlier release, names no account.
    CHECK(call(fixture, Kind::Query, id, {}).stage == stage);
    CHECK(call(fixture, Kind::Cancel, id, {}).outcome == Outcome::Cancelled);
}

// Guards against jobs that nobody can reach any more once the deployment has accounts.
TEST_CASE("a job without an account may be used by all", "[accounts]")
{
    OwnerFixture fixture;
    fixture.takeOver();
    fixture.timers.advance(Milliseconds(500));
    REQUIRE(call(fixture, Kind::Submit, jobIdOf(1), {}).outcome == Outcome::Accepted);
    CHECK(call(fixture, Kind::Query, jobIdOf(1), "south").outcome == Outcome::Answered);
    CHECK(call(fixture, Kind::Submit, jobIdOf(1), "south").outcome == Outcome::Accepted);
    CHECK(call(fixture, Kind::Cancel, jobIdOf(1), "south").outcome == Outcome::Cancelled);
}

// Guards against a rolling update after which an owner cannot read the ends that one of the other release has stored.
TEST_CASE("the record of an ended job holds its account and is readable by owners of the earlier release", "[accounts]")
{
    JobState job;
    job.stage = JobStage::Completed;
    job.endedAt = Milliseconds(77);
    CHECK(JobRecordCodec::progress(job) == R"({"ended":77,"stage":"completed"})");
    job.spec.account = "north";
    CHECK(JobRecordCodec::progress(job) == R"({"account":"north","ended":77,"stage":"completed"})");
    const auto stored = JobRecordCodec::stageOf(JobRecordCodec::progress(job));
    REQUIRE(stored);
    CHECK(stored->stage == JobStage::Completed);
    CHECK(stored->endedAt == Milliseconds(77));
    CHECK(stored->account == "north");

    const auto earlier = JobRecordCodec::stageOf(R"({"ended":77,"stage":"completed"})");
    REQUIRE(earlier);
    CHECK(earlier->account.empty());
    CHECK(JobRecordCodec::stageOf(R"({"ended":77,"stage":"completed","account":7})")->account.empty());
}

// Guards against names that do not survive a header, and against causes that are lost between processes.
TEST_CASE("an account with any name, and the cause of a refusal, pass between processes", "[accounts]")
{
    const auto account = GENERATE(as<std::string>(), "", "north", " a b ", "line\r\nkey: x", "\xc3\xa4");
    ClientCall call;
    call.kind = Kind::Query;
    call.account = account;
    auto request = PeerCodec::callRequest(call);
    for (auto &[name, value] : request.headers) {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        CHECK(value.find_first_of("\r\n") == std::string::npos);
    }
    const auto read = PeerCodec::readCall(request);
    REQUIRE(read);
    CHECK(read->account == account);

    ClientResult result { .outcome = Outcome::NoSuchJob };
    CHECK(PeerCodec::callReply(result).body.find("key_refusal") == std::string::npos);
    CHECK(PeerCodec::readCallReply(PeerCodec::callReply(result))->keyRefusal == KeyRefusal::None);
    result.keyRefusal = KeyRefusal::OtherAccount;
    CHECK(PeerCodec::readCallReply(PeerCodec::callReply(result))->keyRefusal == KeyRefusal::OtherAccount);
}
