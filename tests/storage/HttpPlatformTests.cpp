#include "core/Failure.h"
#include "core/SystemClock.h"
#include "observability/Metrics.h"
#include "standins/platform/PlatformStandIn.h"
#include "storage/HttpInstanceDirectory.h"
#include "storage/HttpObjectStore.h"
#include "storage/HttpTableService.h"
#include "storage/PlatformConnection.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr Milliseconds attemptTimeout { 150 };
constexpr Milliseconds lostAnswerDelay { 400 };

/** A server of the stand-in platform, or of scripted replies to commits (the last one repeated), and a connection to it. */
struct Fixture
{
    explicit Fixture(std::vector<HttpReply> replies = {})
        : script(std::move(replies)), standIn({ 300, 2000, Milliseconds(0), lostAnswerDelay }, clock)
    {
        if (script.empty()) {
            standIn.addRoutes(server);
        }
        server.route("POST", "/v1/table/commit", [this](const HttpRequest &) {
            auto reply = script.at(std::min<std::size_t>(attempts++, script.size() - 1));
            if (reply.status == lostReplyStatus) {
                std::mutex mutex;
                std::unique_lock lock(mutex);
                std::condition_variable condition;
                clock.waitUntil(lock, condition, clock.now() + lostAnswerDelay, [] { return false; });
            }
            return reply;
        });
        const auto port = server.bind(failure);
        REQUIRE(port);
        server.start();
        // Nothing listens on port 2, so the first address refuses connections.
        const PlatformOptions options { { "127.0.0.1:2", "127.0.0.1:" + std::to_string(*port) }, attemptTimeout };
        connection = std::make_unique<PlatformConnection>(options, clock, metrics);
        table = std::make_unique<HttpTableService>(*connection);
    }

    CommitResult commit(const Transaction &transaction, Milliseconds timeout = Milliseconds(5000))
    {
        return table->commit(transaction, clock.now() + timeout, failure);
    }

    TimePoint callDeadline() const
    {
        return clock.now() + Milliseconds(5000);
    }

    static constexpr int lostReplyStatus = 500;
    SystemClock clock;
    Metrics metrics;
    Failure failure;
    std::vector<HttpReply> script;
    std::atomic<std::size_t> attempts = 0;
    PlatformStandIn standIn;
    HttpServer server { HttpServerOptions() };
    std::unique_ptr<PlatformConnection> connection;
    std::unique_ptr<HttpTableService> table;
};

Transaction putIfAbsent(const std::string &id, const std::string &key)
{
    return { id, { { key, 0 } }, { { key, "value of " + id } }, WritePurpose::RequestRecord };
}

HttpReply committed()
{
    return { 200, R"({"outcome":"committed","versions":[7]})", "application/json", {} };
}

void setFaults(Fixture &fixture, const std::string &faults)
{
    PlatformCall call { "PUT", "/v1/faults", faults };
    bool mayHaveArrived = false;
    const auto accept = [](const HttpReply &) { return true; };
    REQUIRE(fixture.connection->call(call, fixture.callDeadline(), accept, mayHaveArrived, fixture.failure));
}

} // namespace

TEST_CASE("a commit whose answer is lost is repeated with its id and gets its outcome", "[platform][http]")
{
    // Guards against a write that is reported as a conflict with itself, or as not written, although it took effect.
    Fixture fixture;
    setFaults(fixture, R"({"loseAnswersAfterWrite": 1})");
    const auto result = fixture.commit(putIfAbsent("a", "row"));
    CHECK(result.status == CommitStatus::Committed);
    const auto row = fixture.table->read("row", fixture.callDeadline(), fixture.failure);
    REQUIRE(row);
    CHECK(row->value == "value of a");
    CHECK(result.versions == std::vector { row->version });
    CHECK(fixture.metrics.text().find("timed-out") != std::string::npos);
    // Negative control: a repetition under a new id conflicts with the first attempt's own write.
    const auto naive = fixture.commit(putIfAbsent("b", "row"));
    REQUIRE(naive.status == CommitStatus::Conflict);
    CHECK(naive.conflicts.front().value == "value of a");
}

TEST_CASE("commits that the table refused are not written, and those without an outcome are unknown", "[platform][http]")
{
    // Guards against "not written" for a write that took effect, and against "unknown" for one that cannot have taken effect.
    const HttpReply down { 503, {}, "application/json", {} };
    const HttpReply throttled { 429, {}, "application/json", {} };
    const HttpReply lost { Fixture::lostReplyStatus, {}, "application/json", {} };
    const HttpReply malformed { 400, {}, "application/json", {} };
    const HttpReply partial { 200, R"({"outcome":"comm)", "application/json", {} };
    struct Case
    {
        std::vector<HttpReply> script;
        CommitStatus status;
        FailureReason reason;
    };
    const std::vector<Case> cases {
        { { down }, CommitStatus::NotWritten, FailureReason::ServiceDown },
        { { throttled }, CommitStatus::NotWritten, FailureReason::Throttled },
        { { malformed }, CommitStatus::NotWritten, FailureReason::MalformedInput },
        { { down, throttled, committed() }, CommitStatus::Committed, FailureReason::None },
        { { lost, down, committed() }, CommitStatus::Committed, FailureReason::None },
        { { partial, committed() }, CommitStatus::Committed, FailureReason::None },
        // By their last attempt alone, these three would be not written.
        { { lost, down }, CommitStatus::Unknown, FailureReason::OutcomeUnknown },
        { { lost, throttled }, CommitStatus::Unknown, FailureReason::OutcomeUnknown },
        { { partial, malformed }, CommitStatus::Unknown, FailureReason::OutcomeUnknown },
    };
    for (const auto &each : cases) {
        Fixture fixture(each.script);
        const auto result = fixture.commit(putIfAbsent("a", "row"), Milliseconds(700));
        CAPTURE(fixture.failure.text(), &each - cases.data());
        CHECK(result.status == each.status);
        CHECK((result.status == CommitStatus::Committed || fixture.failure.reason == each.reason));
        // With a backoff that grows from 20 ms, few rounds fit into 700 ms.
        CHECK(fixture.attempts <= 15);
    }
}

TEST_CASE("a commit that never left this process is not written", "[platform][http]")
{
    // Guards against "unknown" for a table that cannot be reached and for content that cannot be sent.
    Fixture fixture;
    PlatformConnection unreachable({ { "127.0.0.1:2" } }, fixture.clock, fixture.metrics);
    HttpTableService table(unreachable);
    const auto deadline = fixture.clock.now() + Milliseconds(100);
    CHECK(table.commit(putIfAbsent("a", "row"), deadline, fixture.failure).status == CommitStatus::NotWritten);
    CHECK(fixture.failure.reason == FailureReason::ConnectionFailed);
    CHECK(fixture.commit({ "b", {}, { { "row", "\xff" } } }).status == CommitStatus::NotWritten);
    CHECK(fixture.failure.reason == FailureReason::MalformedInput);
}

TEST_CASE("rows, objects and workers are read back as written", "[platform][http]")
{
    // Guards against differences of protocol between the clients and the stand-in.
    Fixture fixture;
    REQUIRE(fixture.commit({ "a", {}, { { "p/2", "two" }, { "p/1", "one" }, { "q", "" } } }).status == CommitStatus::Committed);
    REQUIRE(fixture.commit({ "b", {}, { { "q", std::nullopt } } }).versions == std::vector { 0LL });
    const auto rows = fixture.table->readPrefix("p/", fixture.callDeadline(), fixture.failure);
    REQUIRE(rows);
    REQUIRE(rows->size() == 2);
    CHECK(rows->front().value == "one");
    CHECK(fixture.table->read("q", fixture.callDeadline(), fixture.failure)->version == 0);

    HttpObjectStore objects(*fixture.connection);
    const std::string bytes("\x00\xff binary", 9);
    REQUIRE(objects.put("configuration/a b%+?", bytes, fixture.callDeadline(), fixture.failure));
    CHECK(objects.get("configuration/a b%+?", fixture.callDeadline(), fixture.failure) == bytes);
    CHECK_FALSE(objects.get("configuration/none", fixture.callDeadline(), fixture.failure));
    CHECK(fixture.failure.reason == FailureReason::UnknownName);

    HttpInstanceDirectory directory(*fixture.connection);
    bool mayHaveArrived = false;
    const auto put = [&](const std::string &body) {
        const auto accept = [](const HttpReply &) { return true; };
        REQUIRE(fixture.connection->call(
            { "PUT", "/v1/workers/w1", body }, fixture.callDeadline(), accept, mayHaveArrived, fixture.failure));
    };
    put(R"({"address":"127.0.0.1:1","service":"taller","failureDomain":"loja","region":"r",
            "capacity":{"milliCores":1,"memoryMiB":2,"accelerators":3,"slots":4,"connections":5}})");
    const auto first = directory.changesSince(0, fixture.callDeadline(), fixture.failure);
    REQUIRE(first);
    REQUIRE(first->changed.size() == 1);
    CHECK(first->changed.front().capacity == Resources { 1, 2, 3, 4, 5 });
    put(R"({"state":"leaving"})");
    const auto second = directory.changesSince(first->cursor, fixture.callDeadline(), fixture.failure);
    REQUIRE(second);
    CHECK(second->changed.at(0).state == ListedState::Leaving);
    CHECK(directory.changesSince(second->cursor, fixture.callDeadline(), fixture.failure)->changed.empty());
}
