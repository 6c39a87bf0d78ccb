#pragma once

namespace auburndoor {

/** Processor time of one HTTP exchange over kept loopback connections, in microseconds. */
struct ExchangeCost
{
    /** HttpChannels, including the kernel's share. */
    double client = 0;
    /** The part of it spent in the process itself. */
    double clientUser = 0;
    /** HttpListener, including the kernel's share. */
    double server = 0;
    /** The part of it spent in the process itself. */
    double serverUser = 0;
};

/**
    Plays requests of the size of a start command from one event loop to another, each loop on its own thread.

    @param peers     the number of HttpChannels, which stand for the workers of a cell; each has one request under way
    @param exchanges the number of requests that are measured
*/
ExchangeCost measureExchanges(int peers, int exchanges);

/** Prints the cost of exchanges with as many peers as a large cell has workers. */
void printExchangeCost();

} // namespace auburndoor
