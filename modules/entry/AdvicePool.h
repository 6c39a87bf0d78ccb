#pragma once

#include "net/Address.h"
#include "workload/Advisor.h"

#include <functional>
#include <memory>
#include <vector>

namespace auburndoor {

class EventLoop;

/**
    Distributes the owner's advice requests over the entry processes of the cell.

    The advisory service handles one call at a time for each machine, so other entry processes send requests for the owner too. Each
    process has at most one request in flight; further ones wait here, the most urgent first. Long requests leave some processes
    free for short ones. A request that fails at one process is retried by a process that is available then. All members are called
    from the loop's thread.
*/
class AdvicePool : public Advisor
{
public:
    /**
        @param localAdvisor sends requests from this machine; null if there is no advisory service
        @param selfAddress  the peer address of this process
        @param members      returns the peer addresses of the processes that can send requests, with or without this one
    */
    AdvicePool(EventLoop &loop, Advisor *localAdvisor, Address selfAddress, std::function<std::vector<Address>()> members);
    ~AdvicePool() override;

    void ask(const AdviceRequest &adviceRequest, Callback callback) override;
    bool canSendNow(Milliseconds expected) const override;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
