#pragma once

#include "soak/ProcessCell.h"
#include "soak/RequestTally.h"

#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

/**
    A client that keeps one connection open and sends one request after the other on it, until the process ends the connection.

    It repeats no request. An answer with "Connection: close", and an end of the connection that arrives before a request is sent,
    lead to a new connection to a process that is not stopping.
*/
class KeptClient : public std::enable_shared_from_this<KeptClient>
{
public:
    struct Options
    {
        /** Distinguishes the ids of its jobs from those of other clients. */
        int number = 0;
        /** The longest time between an answer and the next request. */
        Milliseconds maxThinkTime { 60 };
        /** The size of the payload of its jobs. */
        std::size_t payloadBytes = 10;
    };

    KeptClient(ProcessCell &cell, RequestTally &tally, const Options &options);

    void start();
    /** Sends no further request. */
    void stop();
    /** True while a request is open. */
    bool isWaiting() const;

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    void open();
    void openLater();
    void onOpened(const ConnectionPointer &connection);
    void sendLater(const ConnectionPointer &connection);
    void send(const ConnectionPointer &connection);
    /** Draws a request: a new job, one of its jobs once more, or a query for one. */
    std::string makeRequest(Connection &connection);
    /** Reads one answer, or the end of the connection. */
    void read(const ConnectionPointer &connection);
    void onAnswered(const ConnectionPointer &connection);
    void onClosed(Connection &connection);
    EntryProcess *pickEntry();

    ProcessCell &cell_;
    RequestTally &tally_;
    Options options_;
    ConnectionPointer connection_;
    std::vector<std::string> acceptedJobs_;
    int lastJobNumber_ = 0;
    bool isStopped_ = false;
};

} // namespace auburndoor
