#pragma once

#include "membership/Member.h"

#include <optional>

namespace auburndoor {

namespace wire {
class MemberState;
}

/**
    Encodes the successive states of one member on one connection; fields that have not changed are left out.

    Heartbeats are most of the control traffic, and all but a few numbers of a member stay the same between two of them.
*/
class MemberEncoder
{
public:
    wire::MemberState encode(const Member &member);

private:
    std::optional<Member> last_;
};

/** Decodes what a MemberEncoder at the other end of the same connection has encoded. */
class MemberDecoder
{
public:
    /** @return empty if the message is malformed or leaves out what was never sent */
    std::optional<Member> decode(const wire::MemberState &state);

private:
    std::optional<Member> last_;
};

} // namespace auburndoor
