#include "entry/ClientCallReader.h"

#include "entry/CellProtocol.h"
#include "entry/DesiredStateFixture.h"
#include "fakes/CapturedLog.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

struct ReaderFixture : DesiredStateFixture
{
    ReaderFixture()
    {
        write(1, R"("first-key")");
        holder.start();
        timers.advance(Milliseconds(200));
        store.readCount = 0;
    }

    /** Reads a query; the answer is in call and result. */
    void read(const std::string &key, const std::string &target = "/jobs/0123456789abcdef")
    {
        isRead = false;
        WebRequest request { "GET", target, { { "host", "h" } }, {}, true };
        if (!key.empty()) {
            request.headers.emplace_back("key", key);
        }
        reader.read(std::move(request), [this](const ClientCall &newCall, const std::optional<ClientResult> &newResult) {
            isRead = true;
            call = newCall;
            outcome = newResult ? std::optional(newResult->outcome) : std::nullopt;
        });
    }

    ClientCallReader reader { timers, protocol, holder, metrics };
    bool isRead = false;
    ClientCall call;
    std::optional<ClientResult::Outcome> outcome;
};

} // namespace

// Guards against calls that wait for the store although the version in force decides them.
TEST_CASE("a call with a known key, without a key or to an anonymous queue waits for nothing", "[keys]")
{
    ReaderFixture fixture;
    fixture.link.isCut = true;
    fixture.read("first-key");
    CHECK(fixture.isRead);
    CHECK_FALSE(fixture.outcome);
    CHECK(fixture.call.account == "lab");
    fixture.read({}, "/open/0123456789abcdef");
    CHECK(fixture.isRead);
    CHECK_FALSE(fixture.outcome);
    fixture.read({});
    CHECK(fixture.isRead);
    CHECK(fixture.outcome == ClientResult::Outcome::Unauthorized);
    CHECK(fixture.metrics.counter("client_key_refusals_total", "no key") == 1);
    CHECK(fixture.store.readCount == 0);
}

// Guards against the refusal of a key, or of a route, that the operator has just added.
TEST_CASE("a key or a route that was just added is served", "[keys]")
{
    ReaderFixture fixture;
    fixture.write(2, R"("second-key")");
    fixture.read("second-key");
    CHECK_FALSE(fixture.isRead);
    fixture.timers.advance(Milliseconds(5));
    CHECK(fixture.isRead);
    CHECK_FALSE(fixture.outcome);
    CHECK(fixture.call.account == "lab");
    CHECK(fixture.call.timeout < Milliseconds(3000));
    CHECK(fixture.store.readCount == 1);

    fixture.timers.advance(Milliseconds(300));
    auto text = desiredStateText(3, R"("second-key")");
    text.replace(text.find("/open/"), 6, "/late/");
    fixture.store.write(fixture.protocol.operatorTable(), fixture.protocol.desiredStateKey(), text);
    fixture.read({}, "/late/0123456789abcdef");
    fixture.timers.advance(Milliseconds(5));
    CHECK(fixture.isRead);
    CHECK_FALSE(fixture.outcome);
}

// Guards against a process that was suspended while a key was removed, and that serves the calls which have waited in its sockets.
TEST_CASE("after a suspension the store is read before a key is served", "[keys]")
{
    ReaderFixture fixture;
    const bool isCut = GENERATE(false, true);
    fixture.holder.noteRunning();
    fixture.timers.suspend(Milliseconds(5000));
    fixture.write(2, R"("second-key")");
    fixture.link.isCut = isCut;
    fixture.read("first-key");
    CHECK_FALSE(fixture.isRead);
    fixture.timers.advance(isCut ? Milliseconds(400) : Milliseconds(5));
    REQUIRE(fixture.isRead);
    CHECK(fixture.outcome.has_value() != isCut);

    // A store that stays silent does not hold up calls for longer than a second.
    fixture.read("first-key");
    fixture.timers.advance(Milliseconds(900));
    fixture.holder.noteRunning();
    fixture.timers.advance(Milliseconds(200));
    fixture.read(isCut ? "first-key" : "second-key");
    CHECK(fixture.isRead);
    CHECK_FALSE(fixture.outcome);
}

// Guards against an unknown key that is served or left without an answer while the store is silent.
TEST_CASE("an unknown key is refused, at the latest after the timeout", "[keys]")
{
    ReaderFixture fixture;
    fixture.link.isCut = GENERATE(false, true);
    fixture.read("guess");
    fixture.timers.advance(Milliseconds(400));
    CHECK(fixture.isRead);
    CHECK(fixture.outcome == ClientResult::Outcome::Unauthorized);
    CHECK(fixture.metrics.counter("client_key_refusals_total", "unknown key") == 1);
}

// Guards against keys in the log or the metrics, and against a flood of refused calls that displaces other lines.
TEST_CASE("refused calls are counted by cause and logged once a second, without their keys", "[keys]")
{
    CapturedLog log;
    ReaderFixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.read("secret-guess");
        fixture.read({}, "/none/0123456789abcdef?key=secret-guess");
        fixture.timers.advance(Milliseconds(100));
    }
    fixture.reader.noteResult(fixture.call,
                              { .outcome = ClientResult::Outcome::NoSuchJob, .keyRefusal = KeyRefusal::OtherAccount });
    fixture.timers.advance(Milliseconds(400));
    CHECK(fixture.metrics.counter("client_key_refusals_total", "unknown key") == 50);
    CHECK(fixture.metrics.counter("client_key_refusals_total", "job of another account") == 1);
    const auto lines = log.lines("call.key_refused");
    CHECK(lines.size() >= 5);
    CHECK(lines.size() <= 8);
    CHECK(lines.front().at("why") == "unknown key");
    CHECK_FALSE(log.lines("call.rejected").empty());
    CHECK(log.search("secret-guess").empty());
    CHECK(log.search("first-key").empty());
    CHECK(fixture.metrics.text().find("secret-guess") == std::string::npos);
}

// Guards against early refusals of calls that a newer desired state or the body may allow.
TEST_CASE("only calls without a key are refused before their body is read", "[keys]")
{
    ReaderFixture fixture;
    WebRequest request { "POST", "/jobs/0123456789abcdef", { { "host", "h" } }, {}, false };
    const auto reply = fixture.reader.refuseEarly(request);
    REQUIRE(reply);
    CHECK(reply->status == 401);
    CHECK(fixture.metrics.counter("client_key_refusals_total", "no key") == 1);
    request.headers.emplace_back("key", "guess");
    CHECK_FALSE(fixture.reader.refuseEarly(request));
    request.headers.back().second = "first-key";
    CHECK_FALSE(fixture.reader.refuseEarly(request));
    // Where keys are required, a route may be in a newer version.
    request.target = "/none/0123456789abcdef";
    CHECK_FALSE(fixture.reader.refuseEarly(request));
}
