#include "peer/PeerFixture.h"

#include "peer/FramedSocket.h"
#include "peer/MemberCodec.h"
#include "peer/WireConversion.h"

#include "PeerService.h"

#include <thrift/transport/TSocket.h>

#include <catch2/catch.hpp>

#include <rapidcheck.h>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr Milliseconds timeout { 5000 };

/** Sends raw bytes, without a frame of their own, and waits until the server closes the connection. */
void sendRaw(const std::string &address, const std::string &bytes)
{
    apache::thrift::transport::TSocket socket(address.substr(0, address.rfind(':')),
                                              std::stoi(address.substr(address.rfind(':') + 1)));
    socket.open();
    socket.write(reinterpret_cast<const std::uint8_t *>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    std::uint8_t byte = 0;
    try {
        while (socket.read(&byte, 1) > 0) {
        }
    } catch (const apache::thrift::TException &) {
        // A reset is as good as a close.
    }
}

std::string executeMessage(const std::string &secret)
{
    const WireBuffer buffer;
    wire::PeerServiceClient client(buffer.protocol, buffer.protocol);
    wire::CallHeader header;
    header.secret = secret;
    client.send_execute(header, wire::ForwardedRequest());
    return buffer.transport->getBufferAsString();
}

} // namespace

TEST_CASE("garbage on the port is refused and counted and disturbs nobody", "[peer]")
{
    // Guards against a port scanner or a misdirected client that ends the process or blocks its peers.
    PeerServerOptions options;
    options.readTimeout = 200ms;
    PeerFixture fixture(options);
    const auto call = fixture.blockExecute();
    auto inFlight = std::async(std::launch::async, [&] { return fixture.client->execute(fixture.request("a"), timeout); });
    fixture.waitForExecutions(1);

    sendRaw(fixture.address, "GET / HTTP/1.1\r\n\r\n");
    CHECK(fixture.refused("too-large") == 1);
    sendRaw(fixture.address, std::string("\0\0\0\x04junk", 8));
    CHECK(fixture.refused("malformed-input") == 1);
    sendRaw(fixture.address, std::string("\0\0\0\x40half", 8));
    CHECK(fixture.refused("timed-out") == 1);
    // A claimed list of two thousand million elements must not reserve memory for them.
    sendRaw(fixture.address,
            std::string("\0\0\0\x22\x80\x01\0\x01\0\0\0\x07release\0\0\0\0\x0f\0\x02\x0c\x7f\xff\xff\xff\0\0\0\0\0\0\0\0", 38));
    CHECK(fixture.refused("malformed-input") == 2);

    // Too short even for a length, as a probe of the port sends.
    Failure failure;
    FramedSocket::connect(fixture.address, timeout, failure)->shutdown();
    while (fixture.serverMetrics.counter("peer_unauthenticated_connections_total") < 5) {
        std::this_thread::yield();
    }

    call->set_value();
    CHECK(inFlight.get().answer == "answer to a");
}

TEST_CASE("damaged messages never reach the handler unless they are whole calls", "[peer]")
{
    // Guards against a crash, a hang or a start caused by a message that was cut or changed.
    PeerServerOptions options;
    options.readTimeout = 50ms;
    PeerFixture fixture(options);
    const auto message = executeMessage("a wrong secret");
    const bool isHeld = rc::check("damaged messages", [&] {
        auto damaged = message;
        const auto position = *rc::gen::inRange<std::size_t>(0, message.size());
        damaged[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        damaged.resize(*rc::gen::inRange<std::size_t>(1, message.size() + 1));
        Failure failure;
        auto socket = FramedSocket::connect(fixture.address, timeout, failure);
        RC_ASSERT(socket.has_value());
        RC_ASSERT(socket->send(damaged, timeout, failure));
        // Either a refusal or the end of the connection arrives.
        failure.reason = FailureReason::None;
        socket->receive(1 << 20, timeout, failure);
        RC_ASSERT(failure.reason != FailureReason::TimedOut);
        RC_ASSERT(fixture.handler.executions == 0);
    });
    CHECK(isHeld);
    CHECK(fixture.client->execute(fixture.request("after"), timeout).answer == "answer to after");
}

TEST_CASE("connections past the limit and silent ones are closed", "[peer]")
{
    // Guards against threads that are all held by connections that never send a call.
    PeerServerOptions options;
    options.connectionLimit = 3;
    options.readTimeout = 100ms;
    PeerFixture fixture(options);
    Failure failure;
    std::vector<FramedSocket> sockets;
    for (int index = 0; index < 6; ++index) {
        auto socket = FramedSocket::connect(fixture.address, timeout, failure);
        REQUIRE(socket);
        sockets.push_back(std::move(*socket));
    }
    for (auto &socket : sockets) {
        CHECK_FALSE(socket.receive(100, timeout, failure));
        CHECK(failure.reason == FailureReason::ConnectionLost);
    }
    CHECK(fixture.refused("too-many-connections") == 3);
    Outcome outcome;
    do {
        // The threads of ended connections are collected with a short delay.
        outcome = fixture.client->execute(fixture.request(), timeout);
    } while (outcome.status != OutcomeStatus::Answered);
    CHECK(fixture.handler.executions == 1);
}

TEST_CASE("Thrift's own framed transport is understood", "[peer]")
{
    // Guards against framing of our own that differs from that of the library.
    PeerFixture fixture;
    using namespace apache::thrift;
    const auto port = std::stoi(fixture.address.substr(fixture.address.rfind(':') + 1));
    const auto transport = std::make_shared<transport::TFramedTransport>(std::make_shared<transport::TSocket>("127.0.0.1", port));
    transport->open();
    wire::PeerServiceClient client(std::make_shared<protocol::TBinaryProtocol>(transport));
    wire::CallHeader header;
    header.secret = fixture.secret;
    CHECK(client.announce(header, wire::Announcement()) == 1);
    header.secret = "wrong";
    CHECK_THROWS_AS(client.announce(header, wire::Announcement()), wire::Refusal);
}

TEST_CASE("member states survive the encoding of changes only", "[peer]")
{
    // Guards against a field that keeps an old value at the other end because it was taken for unchanged.
    const bool isHeld = rc::check("member codec", [] {
        MemberEncoder encoder;
        MemberDecoder decoder;
        const auto small = rc::gen::inRange(0, 3);
        for (int round = 0; round < 20; ++round) {
            Member member;
            member.id = InstanceId("i" + std::to_string(*small));
            member.incarnation = *small;
            member.peerAddress = "a" + std::to_string(*small);
            member.failureDomain = FailureDomainId("d" + std::to_string(*small));
            member.region = RegionId("r" + std::to_string(*small));
            member.configurationVersion = *small;
            member.isLeaving = *small == 0;
            member.summary.sequence = *small;
            for (int pool = *small; pool > 0; --pool) {
                member.summary.pools.push_back({ ServiceId("s" + std::to_string(*small)), *small, *small });
            }
            const auto decoded = decoder.decode(encoder.encode(member));
            RC_ASSERT(decoded.has_value());
            const auto fields = [](const Member &m) {
                return std::tie(m.id,
                                m.incarnation,
                                m.peerAddress,
                                m.failureDomain,
                                m.region,
                                m.configurationVersion,
                                m.isLeaving,
                                m.summary.sequence);
            };
            RC_ASSERT(fields(*decoded) == fields(member));
            RC_ASSERT(decoded->summary.pools.size() == member.summary.pools.size());
            for (std::size_t index = 0; index < member.summary.pools.size(); ++index) {
                const auto &left = decoded->summary.pools[index];
                const auto &right = member.summary.pools[index];
                RC_ASSERT(std::tie(left.service, left.freePlaces, left.queued)
                          == std::tie(right.service, right.freePlaces, right.queued));
            }
        }
    });
    CHECK(isHeld);
    // An encoder that has lost its connection, but not its memory, must not be understood by accident.
    MemberEncoder encoder;
    Member member;
    member.id = InstanceId("i");
    encoder.encode(member);
    MemberDecoder fresh;
    CHECK_FALSE(fresh.decode(encoder.encode(member)));
}
