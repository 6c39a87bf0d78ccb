#include "entry/OwnerCallForwarder.h"
#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a planned stop that closes connections with requests that still wait for an owner.
TEST_CASE("calls that are open when a process stops get their final answer")
{
    EventLoop loop;
    OwnerCallForwarder forwarder(
        loop, [] { return nullptr; }, [] { return std::optional<Address>(); });
    std::vector<ClientResult::Outcome> outcomes;
    const auto submit = [&] {
        ClientCall call;
        call.kind = ClientCall::Kind::Submit;
        call.job = "00000000000000aa";
        forwarder.call(call, [&outcomes](const ClientResult &result) { outcomes.push_back(result.outcome); });
    };
    const auto runFor = [&loop](Milliseconds time) {
        loop.after(time, [&loop] { loop.stop(); });
        loop.run();
    };
    // No owner is known, so none can have received the call.
    submit();
    runFor(Milliseconds(50));
    forwarder.close();
    REQUIRE(outcomes == std::vector { ClientResult::Outcome::Refused });
    submit();
    CHECK(outcomes.size() == 2);
    CHECK(outcomes.back() == ClientResult::Outcome::Refused);
}

// Guards against the refusal of a call that an owner may have received.
TEST_CASE("a submission that is in flight to an owner when a process stops ends with an unknown outcome")
{
    EventLoop loop;
    std::vector<HttpResponderPointer> openResponders;
    HttpListener unansweringOwner(loop, {}, [&openResponders](const WebRequest &, const HttpResponderPointer &responder) {
        openResponders.push_back(responder);
    });
    std::string error;
    REQUIRE(unansweringOwner.listen({ "127.0.0.1", 0 }, error));
    OwnerCallForwarder forwarder(
        loop,
        [] { return nullptr; },
        [&] {
            return Address { "127.0.0.1", unansweringOwner.port() };
        });
    std::optional<ClientResult::Outcome> outcome;
    ClientCall call;
    call.kind = ClientCall::Kind::Submit;
    forwarder.call(call, [&outcome](const ClientResult &result) { outcome = result.outcome; });
    loop.after(Milliseconds(100), [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(openResponders.size() == 1);
    forwarder.close();
    CHECK(outcome == ClientResult::Outcome::Unknown);
}

// Guards against a refusal that turns out to be untrue: the owner may read the request of a broken connection after the next one.
TEST_CASE("a submission that an owner refuses after an attempt that was lost ends with an unknown outcome")
{
    EventLoop loop;
    int requests = 0;
    HttpListener owner(loop, {}, [&requests](const WebRequest &, const HttpResponderPointer &responder) {
        if (++requests == 1) {
            responder->abandon();
        } else {
            responder->reply(PeerCodec::callReply({ .outcome = ClientResult::Outcome::Refused, .retryAfter = Milliseconds(900) }));
        }
    });
    std::string error;
    REQUIRE(owner.listen({ "127.0.0.1", 0 }, error));
    OwnerCallForwarder forwarder(
        loop,
        [] { return nullptr; },
        [&] {
            return Address { "127.0.0.1", owner.port() };
        });
    std::vector<ClientResult::Outcome> outcomes;
    ClientCall call;
    call.kind = ClientCall::Kind::Submit;
    for (const char *job : { "00000000000000aa", "00000000000000bb" }) {
        call.job = job;
        forwarder.call(call, [&outcomes](const ClientResult &result) { outcomes.push_back(result.outcome); });
        loop.after(Milliseconds(300), [&loop] { loop.stop(); });
        loop.run();
    }
    CHECK(outcomes == std::vector { ClientResult::Outcome::Unknown, ClientResult::Outcome::Refused });
}

// Guards against logs in which every refused call looks the same, whatever the process at the owner's address has answered.
TEST_CASE("a call that an owner's process does not serve fails with what it answered and its address")
{
    EventLoop loop;
    WebReply reply = PeerCodec::notOwnerReply("it still reads the stored jobs");
    HttpListener process(
        loop, {}, [&reply](const WebRequest &, const HttpResponderPointer &responder) { responder->reply(reply); });
    std::string error;
    REQUIRE(process.listen({ "127.0.0.1", 0 }, error));
    const Address address { "127.0.0.1", process.port() };
    OwnerCallForwarder forwarder(
        loop, [] { return nullptr; }, [&address] { return std::optional(address); });
    const auto failWith = [&](WebReply answer) {
        reply = std::move(answer);
        std::string detail;
        ClientCall call;
        call.kind = ClientCall::Kind::Query;
        call.ownerWaitLimit = Milliseconds(100);
        forwarder.call(call, [&](const ClientResult &result) {
            detail = result.detail;
            loop.stop();
        });
        loop.run();
        return detail;
    };
    const auto prefix = "the process at the owner's address " + address.text() + " does not serve calls: ";
    CHECK(failWith(PeerCodec::notOwnerReply("it still reads the stored jobs")) == prefix + "it still reads the stored jobs");
    CHECK(failWith({ 503, {}, {} }) == prefix + "it answered with status 503");
    CHECK(failWith(PeerCodec::callReply({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" }))
          == "the owner was deposed");
}
