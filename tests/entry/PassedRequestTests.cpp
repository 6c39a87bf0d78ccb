#include "entry/PassedRequestCodec.h"

#include "PlatformProtocol.h"
#include "entry/ClientCallReader.h"
#include "entry/DesiredStateFixture.h"
#include "entry/NewerStateForwarder.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace auburndoor;

namespace {

/** A process with a newer desired state, which decides requests that others pass on. */
struct DecidingProcess
{
    explicit DecidingProcess(EventLoop &loop)
        : listener(loop, {}, [this](const WebRequest &request, const HttpResponderPointer &responder) {
            serve(request, responder);
        })
    {
        state.write(9, R"("key")");
        state.holder.start();
        state.timers.advance(Milliseconds(200));
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    }

    void serve(const WebRequest &message, const HttpResponderPointer &responder)
    {
        ++requestCount;
        auto request = PassedRequestCodec::decode(message);
        if (holdsAnswers) {
            held.push_back(responder);
            return;
        }
        if (isSilent || !request) {
            responder->abandon();
            return;
        }
        reader.read(std::move(*request), [&](const ClientCall &call, const std::optional<ClientResult> &result) {
            lastCall = call;
            const ClientResult counted { .outcome = ClientResult::Outcome::Answered, .pending = 12 };
            responder->reply(PassedRequestCodec::encodeAnswer({ call.kind, result.value_or(counted) }));
        });
        state.timers.advance(Milliseconds(500));
    }

    DesiredStateFixture state;
    ClientCallReader reader { state.timers, state.protocol, state.holder, state.metrics };
    bool isSilent = false;
    bool holdsAnswers = false;
    std::vector<HttpResponderPointer> held;
    int requestCount = 0;
    ClientCall lastCall;
    HttpListener listener;
};

struct ForwarderFixture
{
    /** Passes a request on. @return empty if this process is to decide it */
    std::optional<PassedRequestAnswer> pass(const WebRequest &request)
    {
        std::optional<PassedRequestAnswer> received;
        bool isCalledBack = false;
        forwarder.forward(request, address, Milliseconds(2000), [&](const std::optional<PassedRequestAnswer> &answer) {
            received = answer;
            isCalledBack = true;
            loop.stop();
        });
        if (!isCalledBack) {
            loop.run();
        }
        return received;
    }

    EventLoop loop;
    DecidingProcess other { loop };
    Address address { "127.0.0.1", other.listener.port() };
    NewerStateForwarder forwarder { loop };
};

WebRequest clientRequest(const std::string &method, const std::string &target)
{
    return { method, target, { { "host", "h" }, { "key", "key" }, { "deadline-ms", "1500" } }, "\xff body \n" };
}

} // namespace

// Guards against a route that a newer version adds or removes, and that a process which is behind judges by its older version.
TEST_CASE("a request is decided by the process with the newer desired state", "[passed-request]")
{
    ForwarderFixture fixture;
    const auto counted = fixture.pass(clientRequest("GET", "/jobs/"));
    REQUIRE(counted);
    CHECK(counted->kind == ClientCall::Kind::CountPending);
    CHECK(counted->result.pending == 12);
    CHECK(fixture.other.lastCall.account == "lab");
    CHECK(fixture.other.lastCall.timeout <= Milliseconds(1500));

    const auto removed = fixture.pass(clientRequest("GET", "/removed/"));
    REQUIRE(removed);
    CHECK(removed->result.outcome == ClientResult::Outcome::NoSuchQueue);

    REQUIRE(fixture.pass(clientRequest("POST", "/open/0123456789abcdef")));
    CHECK(fixture.other.lastCall.kind == ClientCall::Kind::Submit);
    CHECK(fixture.other.lastCall.body == "\xff body \n");
}

// Guards against a call that is answered as refused, or carried out twice, although the other process may have carried it out.
TEST_CASE("without an answer only a request that has no effect is decided here", "[passed-request]")
{
    ForwarderFixture fixture;
    fixture.other.isSilent = true;
    CHECK_FALSE(fixture.pass(clientRequest("GET", "/jobs/")));
    const auto submitted = fixture.pass(clientRequest("POST", "/jobs/0123456789abcdef"));
    REQUIRE(submitted);
    CHECK(submitted->result.outcome == ClientResult::Outcome::Unknown);
    CHECK(fixture.other.requestCount == 2);

    fixture.other.listener.stopAccepting();
    fixture.address.port = 1;
    CHECK_FALSE(fixture.pass(clientRequest("POST", "/jobs/0123456789abcdef")));
}

// Guards against a client of a stopping process that gets no answer, since another process has its request.
TEST_CASE("a process that is about to stop answers what it has passed on", "[passed-request]")
{
    ForwarderFixture fixture;
    fixture.other.holdsAnswers = true;
    fixture.loop.after(Milliseconds(50), [&] { fixture.forwarder.close(); });
    const auto submitted = fixture.pass(clientRequest("POST", "/jobs/0123456789abcdef"));
    REQUIRE(submitted);
    CHECK(submitted->result.outcome == ClientResult::Outcome::Unknown);
    CHECK_FALSE(fixture.pass(clientRequest("GET", "/jobs/")));
    CHECK(fixture.other.requestCount == 1);
}

// Guards against a process that ends, or guesses, when another one of another release sends what it cannot read.
TEST_CASE("malformed passed requests and answers are refused", "[passed-request]")
{
    auto message = PassedRequestCodec::encode(clientRequest("GET", "/jobs/"));
    REQUIRE(message);
    REQUIRE(PassedRequestCodec::decode({ "POST", "/", { { "client-request", message->headers.at(0).second } }, {} }));
    for (const auto *head : { "", "!", "AAAA", "gaZtZXRob2QB" }) {
        CHECK_FALSE(PassedRequestCodec::decode({ "POST", "/", { { "client-request", head } }, {} }));
    }
    auto large = clientRequest("GET", "/jobs/");
    large.headers.emplace_back("x", std::string(5000, 'x'));
    CHECK_FALSE(PassedRequestCodec::encode(large));

    const auto reply = PassedRequestCodec::encodeAnswer({ ClientCall::Kind::Query, {} });
    CHECK(PassedRequestCodec::decodeAnswer(reply));
    for (const auto *body :
         { "", "{}", "[1]", R"({"kind":3})", R"({"kind":99,"outcome":0,"stage":0,"pending":0,"retry":0,"detail":""})" }) {
        CHECK_FALSE(PassedRequestCodec::decodeAnswer({ 200, body, {} }));
    }
}
