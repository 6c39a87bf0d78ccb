#pragma once

#include "net/Address.h"
#include "workload/Advisor.h"

#include <functional>
#include <memory>
#include <vector>

namespace auburndoor {

class EventLoop;

/**
    Spreads questions to the advisory service over the entry processes.

    The service takes one call at a time from each machine, so the owner has others ask for it. Each process has one question under
    way; the others wait here, the most urgent first. Long questions leave some processes to the short ones. A question that fails
   at another process is asked from here. All members are called from the loop's thread.
*/
class AdvicePool : public Advisor
{
public:
    /**
        @param local   asks from this machine; null if there is no advisory service
        @param members the peer addresses of the processes that can ask, this one among them or not
    */
    AdvicePool(EventLoop &loop, Advisor *local, Address self, std::function<std::vector<Address>()> members);
    ~AdvicePool() override;

    void ask(const AdviceRequest &question, Callback callback) override;
    bool canSendNow(Milliseconds expected) const override;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
