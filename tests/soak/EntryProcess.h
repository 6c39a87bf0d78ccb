#pragma once

#include "cell/ChildProcess.h"
#include "soak/FaultyLink.h"

#include <optional>
#include <string>

namespace auburndoor {

/** A real entry process on a loopback address of its own, with its link to the store. */
class EntryProcess
{
public:
    /** @param number tells its address and its name @param folder receives its settings and its log */
    EntryProcess(EventLoop &loop, int number, const Address &store, const std::string &folder);

    void start();
    /** Ends it at once, as a lost machine. */
    void kill();
    /** Asks it to stop; it is started again once it has ended. */
    void terminate();
    void pause();
    void resume();
    void hangUp();

    /** Notes the end of a process that was asked to stop. @return false if it exceeds its grace */
    bool checkStop(TimePoint now);

    bool isRunning() const;
    bool isPaused() const;
    bool isStopping() const;

    Address clientAddress() const;
    FaultyLink &storeLink();

private:
    void writeSettings(const Address &store) const;

    EventLoop &loop_;
    std::string ip_;
    std::string name_;
    std::string settingsFile_;
    std::string logFile_;
    FaultyLink storeLink_;
    std::optional<ChildProcess> process_;
    std::optional<TimePoint> stoppingSince_;
    bool isPaused_ = false;
};

} // namespace auburndoor
