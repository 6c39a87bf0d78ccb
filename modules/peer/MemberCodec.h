#pragma once

#include "membership/Member.h"

#include <optional>

namespace auburndoor {

namespace wire {
class MemberState;
}

/**
    Encodes the successive states of one member for one connection, leaving out fields that have not changed since the last one.

    Heartbeats are most of the control traffic, and few fields of a member change between two heartbeats.
*/
class MemberEncoder
{
public:
    /** Encodes all fields of the first member that is passed, and later only the fields that differ from the previous member. */
    wire::MemberState encode(const Member &member);

private:
    std::optional<Member> previous_;
};

/** Decodes the messages of the MemberEncoder at the other end of the same connection. */
class MemberDecoder
{
public:
    /** @return the member with all fields; empty if the message is malformed or leaves out a field that was never received */
    std::optional<Member> decode(const wire::MemberState &state);

private:
    std::optional<Member> previous_;
};

} // namespace auburndoor
