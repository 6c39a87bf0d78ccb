#pragma once

#include "net/HttpChannels.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

class EventLoop;

/** Clients that hand jobs in over connections that they keep, ask again as the protocol allows, and note what they were told. */
class SoakClients
{
public:
    /** What the clients know of a job. */
    struct Job
    {
        std::string body;
        /** A submission was answered with success. */
        bool isAccepted = false;
        /** Some submission had no answer, or none that says that it never runs. */
        bool isOpen = false;
        int tries = 0;
        std::string shown;
    };

    SoakClients(EventLoop &loop, const std::vector<Address> &entries, std::mt19937 &random);

    /** Hands a new job in; sent again at other processes until it is answered or the client has no patience left. */
    void submit(const std::string &id, const std::string &body);

    /** Asks for the state of a job, and notes what must not be. */
    void query(const std::string &id);

    const std::map<std::string, Job> &jobs() const
    {
        return jobs_;
    }

    std::vector<std::string> violations;

private:
    HttpChannels &anyEntry();
    void send(const std::string &id);
    void onSubmitted(const std::string &id, const SendResult &sent);
    void onState(const std::string &id, const SendResult &sent);

    EventLoop &loop_;
    std::mt19937 &random_;
    std::vector<std::unique_ptr<HttpChannels>> entries_;
    std::map<std::string, Job> jobs_;
};

} // namespace auburndoor
