#pragma once

#include "crowd/Crowd.h"
#include "net/HttpExchange.h"
#include "soak/ProcessCell.h"

#include <functional>
#include <string>

namespace auburndoor {

/**
    One entry process with lowered limits, to which crowds of clients connect.

    Its bounds hold whatever the speed of the machine is: they compare memory and descriptors with the limits in its settings.
*/
class CrowdCell
{
public:
    /** Starts the process and waits until a job has run. @param name of the folder of its settings and its log */
    explicit CrowdCell(const std::string &name, int memoryMb = 24, int maxFds = 4096);

    Address clients() const;
    Address readiness() const;
    Address peers() const;
    Address operators() const;

    /**
        Runs a crowd until it has nothing more to send, or for a time, and checks the process while the crowd is connected and after
        it has closed.
    */
    void run(const Address &target, const CrowdPlan &plan);
    /** Runs the crowd against all addresses of the process, also at a path without a route. */
    void runEverywhere(const std::function<CrowdPlan(const std::string &path)> &planOf);

    static constexpr const char *routePath = "/jobs/00000000000000ff";
    static constexpr const char *pathWithoutRoute = "/none/00000000000000ff";
    static constexpr const char *readinessPath = "/api/readyz";

private:
    /** A value of /proc/PID/status, in KiB. */
    long long memoryKb(const std::string &name) const;
    long long openDescriptors() const;
    /** Sends a request for a job to the clients' address. */
    SendResult call(const std::string &method, const std::string &job, const std::string &body = {});
    /** Makes the simulated workers accept the tasks of a job. */
    void addJob(const std::string &job);
    /** Submits a job, once more after each refusal, and waits until it has run. @return false if it has not run in a while */
    bool runOneJob();
    void checkAlive();

    int memoryMb_;
    int maxFds_;
    ProcessCell cell_;
    int lastJobNumber_ = 0;
    long long memoryAtStartKb_ = 0;
    long long descriptorsAtStart_ = 0;
};

} // namespace auburndoor
