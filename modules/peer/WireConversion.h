#pragma once

#include "core/Clock.h"
#include "core/Failure.h"
#include "peer/Peer.h"

#include "auburndoor_types.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

// Conversions between the generated Thrift types and the types of this library. Internal: included by sources of this module only.
namespace auburndoor {

/** A message in memory that is written or read with Thrift's binary protocol. */
struct WireBuffer
{
    /** An empty buffer to write to. */
    WireBuffer();

    /** A buffer to read from. @param bytes must outlive it */
    explicit WireBuffer(std::string &bytes);

    std::shared_ptr<apache::thrift::transport::TMemoryBuffer> transport;
    std::shared_ptr<apache::thrift::protocol::TProtocol> protocol;
};

/** The size in bytes of the frame that carries a message, with its length field. */
std::size_t computeFrameSize(const std::string &message);

/** The name of the call in an encoded message; "malformed" if the message is too short to have one. */
std::string readCallName(const std::string &message);

/** The step with the given name; None if it is unknown, for example because a newer release sent it. */
FailureStep parseFailureStep(const std::string &text);

/** The reason with the given name; None if it is unknown. */
FailureReason parseFailureReason(const std::string &text);

// Times on the wire are remaining or elapsed milliseconds; "now" is the moment of the conversion on the local clock.
wire::Refusal makeRefusal(const Failure &failure);
wire::Problem toWire(const Failure &failure);
wire::Amounts toWire(const Resources &resources);
wire::ForwardedRequest toWire(const Request &request, TimePoint now);
wire::ForwardedOutcome toWire(const Outcome &outcome);
wire::Announcement toWire(const ConfigurationAnnouncement &announcement);
wire::HeldPlace toWire(const Hold &hold);
wire::HoldOrder toWire(const HoldRequest &request);
wire::StartOrder toWire(const TaskStart &start, WallTime now);
wire::StartResult toWire(const CallResult &result, const Failure &failure);
wire::TaskReport toWire(const TaskStatus &task);

// The conversions of messages that contain an enumeration throw std::out_of_range if its value is unknown.
Failure fromWire(const wire::Problem &problem);
Resources fromWire(const wire::Amounts &amounts);
Request fromWire(const wire::ForwardedRequest &request, TimePoint now);
Outcome fromWire(const wire::ForwardedOutcome &outcome);
ConfigurationAnnouncement fromWire(const wire::Announcement &announcement);
Hold fromWire(const wire::HeldPlace &place);
HoldRequest fromWire(const wire::HoldOrder &order);
TaskStart fromWire(const wire::StartOrder &order, WallTime now);
CallResult fromWire(const wire::StartResult &result);
TaskStatus fromWire(const wire::TaskReport &report);

} // namespace auburndoor
