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

/** Sends bytes without adding a frame header, and waits until the server closes the connection. */
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
        // The server may also reset the connection.
    }
}

/** An encoded execute() call, without a frame header. */
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

TEST_CASE("bytes that are not a call are refused and counted, and a call in flight is not disturbed", "[peer]")
{
    // Guards against a port scanner or a client of another protocol that ends the process or blocks the calls of peers.
    PeerServerOptions options;
    options.readTimeout = 200ms;
    PeerFixture fixture(options);
    const auto unblock = fixture.blockExecute();
    auto inFlight = std::async(std::launch::async, [&] { return fixture.client->execute(fixture.request("a"), timeout); });
    fixture.waitForExecutions(1);

    sendRaw(fixture.address, "GET / HTTP/1.1\r\n\r\n");
    CHECK(fixture.countRefused("too-large") == 1);
    sendRaw(fixture.address, std::string("\0\0\0\x04junk", 8));
    CHECK(fixture.countRefused("malformed-input") == 1);
    sendRaw(fixture.address, std::string("\0\0\0\x40half", 8));
    CHECK(fixture.countRefused("timed-out") == 1);
    // A list that claims 2^31 - 1 elements must not allocate memory for them.
    sendRaw(fixture.address,
            std::string("\0\0\0\x22\x80\x01\0\x01\0\0\0\x07release\0\0\0\0\x0f\0\x02\x0c\x7f\xff\xff\xff\0\0\0\0\0\0\0\0", 38));
    CHECK(fixture.countRefused("malformed-input") == 2);

    // A connection without any bytes, as a port scanner opens it.
    Failure failure;
    FramedSocket::connect(fixture.address, timeout, failure)->shutdown();
    while (fixture.serverMetrics.counter("peer_unauthenticated_connections_total") < 5) {
        std::this_thread::yield();
    }

    unblock->set_value();
    CHECK(inFlight.get().answer == "answer to a");
}

TEST_CASE("a call with a wrong secret never reaches the handler, however it is cut or changed", "[peer]")
{
    // Guards against a crash, a hang or an execution caused by a message that was cut or changed.
    PeerServerOptions options;
    options.readTimeout = 50ms;
    PeerFixture fixture(options);
    const auto message = executeMessage("a wrong secret");
    const bool hasPassed = rc::check("damaged messages", [&] {
        auto damaged = message;
        const auto position = *rc::gen::inRange<std::size_t>(0, message.size());
        damaged[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        damaged.resize(*rc::gen::inRange<std::size_t>(1, message.size() + 1));
        Failure failure;
        auto socket = FramedSocket::connect(fixture.address, timeout, failure);
        RC_ASSERT(socket.has_value());
        RC_ASSERT(socket->send(damaged, timeout, failure));
        // The server answers with a refusal or closes the connection.
        failure.reason = FailureReason::None;
        socket->receive(1 << 20, timeout, failure);
        RC_ASSERT(failure.reason != FailureReason::TimedOut);
        RC_ASSERT(fixture.handler.executions == 0);
    });
    CHECK(hasPassed);
    CHECK(fixture.client->execute(fixture.request("after"), timeout).answer == "answer to after");
}

TEST_CASE("connections over the limit and connections without a call are closed", "[peer]")
{
    // Guards against connections that never send a call and keep all connection threads occupied.
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
    CHECK(fixture.countRefused("too-many-connections") == 3);
    Outcome outcome;
    do {
        // The server removes ended connections with a short delay, and refuses new ones until then.
        outcome = fixture.client->execute(fixture.request(), timeout);
    } while (outcome.status != OutcomeStatus::Answered);
    CHECK(fixture.handler.executions == 1);
}

TEST_CASE("a client that uses Thrift's own framed transport is served", "[peer]")
{
    // Guards against a FramedSocket whose frames differ from those of Thrift.
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

TEST_CASE("a member state is decoded with all fields although only changed fields are sent", "[peer]")
{
    // Guards against an encoder that leaves out a changed field, so that the decoder keeps its old value.
    const bool hasPassed = rc::check("member codec", [] {
        MemberEncoder encoder;
        MemberDecoder decoder;
        const auto smallNumber = rc::gen::inRange(0, 3);
        for (int round = 0; round < 20; ++round) {
            Member member;
            member.id = InstanceId("i" + std::to_string(*smallNumber));
            member.incarnation = *smallNumber;
            member.peerAddress = "a" + std::to_string(*smallNumber);
            member.failureDomain = FailureDomainId("d" + std::to_string(*smallNumber));
            member.region = RegionId("r" + std::to_string(*smallNumber));
            member.configurationVersion = *smallNumber;
            member.isLeaving = *smallNumber == 0;
            member.summary.sequence = *smallNumber;
            for (int pool = *smallNumber; pool > 0; --pool) {
                member.summary.pools.push_back({ ServiceId("s" + std::to_string(*smallNumber)), *smallNumber, *smallNumber });
            }
            const auto decoded = decoder.decode(encoder.encode(member));
            RC_ASSERT(decoded.has_value());
            const auto fields = [](const Member &source) {
                return std::tie(source.id,
                                source.incarnation,
                                source.peerAddress,
                                source.failureDomain,
                                source.region,
                                source.configurationVersion,
                                source.isLeaving,
                                source.summary.sequence);
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
    CHECK(hasPassed);
    // A new decoder rejects the messages of an encoder that has already left out fields, as after a reconnect of one side only.
    MemberEncoder encoder;
    Member member;
    member.id = InstanceId("i");
    encoder.encode(member);
    MemberDecoder newDecoder;
    CHECK_FALSE(newDecoder.decode(encoder.encode(member)));
}
