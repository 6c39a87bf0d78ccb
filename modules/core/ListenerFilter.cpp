#include "core/ListenerFilter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace auburndoor {

void dropConnectionRequests(int listener)
{
    constexpr unsigned flagsOffset = 13;
    constexpr unsigned synFlag = 2;
    std::array<sock_filter, 4> instructions { { BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
                                                BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synFlag, 0, 1),
                                                BPF_STMT(BPF_RET | BPF_K, 0),
                                                BPF_STMT(BPF_RET | BPF_K, 0xffffffff) } };
    const sock_fprog filter { static_cast<unsigned short>(instructions.size()), instructions.data() };
    ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

} // namespace auburndoor
